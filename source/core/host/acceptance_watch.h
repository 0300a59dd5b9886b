#pragma once

#include <string_view>

#include "core/common/clock.h"
#include "core/membership/acceptance.h"

namespace lycheegap::host {

struct host_state;

/// Records that a member's incarnation holds `version`, and accepts the versions that are due by now. The
/// caller holds the control table's lock.
void record_confirmation(host_state& host, std::string_view name, std::uint64_t incarnation,
                         std::uint64_t version);

/// Records that `version` is accepted, as another host reports. The caller holds the control table's lock.
void record_accepted(host_state& host, std::uint64_t version);

/// When a version is or will be accepted, and which members have not confirmed it, as this host knows.
membership::acceptance acceptance_of(host_state& host, std::uint64_t version);

/// Waits until `version` is accepted, at most until `deadline`.
membership::acceptance wait_for_acceptance(host_state& host, std::uint64_t version,
                                           common::time_point deadline);

} // namespace lycheegap::host
