#pragma once

#include <cstdint>
#include <functional>
#include <optional>

#include "core/common/clock.h"
#include "core/membership/control_state.h"

namespace lycheegap::host {

struct host_state;

enum class write_state : std::uint8_t {
    written,
    /// The change does not apply; the last reason tells why.
    refused,
    /// The store gave no answer; the change may be recorded.
    unavailable,
};

struct write_result {
    write_state state{write_state::unavailable};
    /// Version after the write.
    std::uint64_t version{0};
    std::uint64_t catalog_revision{0};
};

/// The next state of the control record; version and floor are set by `write_control`. Empty when the change
/// does not apply.
using control_change =
    std::function<std::optional<membership::control_state>(const membership::control_state& current)>;

/// Whether the change is in the state already: asked when an answer of the store was lost.
using change_check = std::function<bool(const membership::control_state& current)>;

/// Reads, changes and writes by compare-and-swap, again after a conflict, until `deadline`.
write_result write_control(host_state& host, const control_change& change, const change_check& is_done,
                           common::time_point deadline);

/// Reads the store once and takes what it tells. False when it gave no answer.
bool read_control(host_state& host);

/// Waits up to `wait` for a newer version and takes it. False when the store gave no answer.
bool watch_control(host_state& host, common::milliseconds wait);

} // namespace lycheegap::host
