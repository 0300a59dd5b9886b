#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "core/common/metrics.h"
#include "http_client.h"

namespace lycheegap::transport {

/// Client of the platform's key-value store. Each HTTP call counts against the store's call budget and in the
/// metric store_calls.
struct store_client {
    /// "ip:port".
    std::string address;
    /// Time limit of a call; `watch_value` adds its `max_wait`.
    common::milliseconds call_timeout{0};
    connection_pool* connections{nullptr};
    common::metrics_table* metrics{nullptr};
};

/// A stored value and its revision, as `compare_and_swap` expects it; revision 0 means that the key does not
/// exist.
struct store_value {
    std::uint64_t revision{0};
    std::string data;
    /// Time just before the request was sent.
    common::time_point requested_at;
};

enum class swap_state : std::uint8_t { written, conflict, unknown };

struct swap_result {
    swap_state state{swap_state::unknown};
    /// Revision after the write, or the current one that caused the conflict.
    std::uint64_t revision{0};
};

/// Reads a value; an absent one has revision 0. Empty when the store did not answer or answered with an
/// error.
std::optional<store_value> read_value(const store_client& store, std::string_view key);

/// Long poll: returns the value once its revision differs from `known_revision`, or the unchanged value after
/// `max_wait`. Empty as for `read_value`.
std::optional<store_value> watch_value(const store_client& store, std::string_view key,
                                       std::uint64_t known_revision, common::milliseconds max_wait);

/// Writes if the value's revision is still `expected_revision`. When the response is lost the write may have
/// taken effect, so the value is read back and compared with `data`, which must therefore differ from every
/// other writer's. `swap_state::unknown` means that the store did not answer, answered with an unexpected
/// status, or after a lost response does not hold `data` at a newer revision.
swap_result compare_and_swap(const store_client& store, std::string_view key, std::uint64_t expected_revision,
                             std::string_view data);

} // namespace lycheegap::transport
