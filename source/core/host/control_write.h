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
    /// The change does not apply or makes the record too large; the thread's last reason tells which.
    refused,
    /// The store gave no answer, or no attempt succeeded before the deadline; the change may be recorded.
    unavailable,
};

struct write_result {
    write_state state{write_state::unavailable};
    /// Version and catalog revision of the stored record after the call; 0 when the store is unavailable.
    std::uint64_t version{0};
    std::uint64_t catalog_revision{0};
};

/// Makes the next state of the control record; `write_control` sets its version and the floor of its
/// generation. Empty when the change does not apply.
using control_change =
    std::function<std::optional<membership::control_state>(const membership::control_state& current)>;

/// Whether a state contains the change already. Called before each retry, since an attempt whose answer was
/// lost may have been written.
using change_check = std::function<bool(const membership::control_state& current)>;

/// Reads the control record, changes it and writes it by compare-and-swap. Retries after a conflict or a lost
/// answer until `deadline`.
write_result write_control(host_state& host, const control_change& change, const change_check& is_done,
                           common::time_point deadline);

/// Reads the control record from the store and adopts it. False when the store gave no answer or no valid
/// record.
bool read_control(host_state& host);

/// Waits up to `wait` for a newer control record in the store and adopts it. False when the store gave no
/// answer or no valid record.
bool watch_control(host_state& host, common::milliseconds wait);

} // namespace lycheegap::host
