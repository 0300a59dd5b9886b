#pragma once

#include <string_view>

#include "core/common/clock.h"
#include "core/membership/acceptance.h"

namespace lycheegap::host {

struct host_state;

/// Notes that an incarnation holds `version` and weighs what is accepted by now. The caller holds the control
/// table's lock.
void note_confirmation(host_state& host, std::string_view name, std::uint64_t incarnation,
                       std::uint64_t version);

/// Notes that another host knows `version` to be accepted. The caller holds the control table's lock.
void note_accepted(host_state& host, std::uint64_t version);

/// How far a version has come, as this host knows it.
membership::acceptance acceptance_of(host_state& host, std::uint64_t version);

/// Waits until `version` is accepted, at the longest until `deadline`.
membership::acceptance wait_for_acceptance(host_state& host, std::uint64_t version,
                                           common::time_point deadline);

} // namespace lycheegap::host
