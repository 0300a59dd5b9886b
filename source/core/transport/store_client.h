#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "core/common/metrics.h"
#include "http_client.h"

namespace lycheegap::transport {

/// Access to the platform's store. Every call counts as one of the store's budget.
struct store_client {
    std::string address;
    common::milliseconds call_timeout{0};
    connection_pool* connections{nullptr};
    common::metrics_table* metrics{nullptr};
};

/// A value with the revision that a compare-and-swap must name; revision 0 is an absent value.
struct store_value {
    std::uint64_t revision{0};
    std::string data;
    /// Moment at which the question was sent.
    common::time_point asked_at;
};

enum class swap_state : std::uint8_t { written, conflict, unknown };

struct swap_result {
    swap_state state{swap_state::unknown};
    /// Revision after a write, or the one that stood in the way.
    std::uint64_t revision{0};
};

/// Reads a value; an absent one has revision 0. Empty when the store gave no answer.
std::optional<store_value> read_value(const store_client& store, std::string_view key);

/// Waits up to `wait` for a revision other than `seen`; the current value comes back also when the wait ends
/// without a change.
std::optional<store_value> watch_value(const store_client& store, std::string_view key, std::uint64_t seen,
                                       common::milliseconds wait);

/// Writes when the value's revision is still `expected`. After a lost answer the value is read back: the
/// write may have taken effect. `data` must differ from every other writer's. Unknown when the store gives no
/// answer at all or holds another value by then, which may have followed this one.
swap_result compare_and_swap(const store_client& store, std::string_view key, std::uint64_t expected,
                             std::string_view data);

} // namespace lycheegap::transport
