#pragma once

#include <cstddef>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "core/common/clock.h"
#include "directory.h"

namespace lycheegap::traffic {

/// How long a host may act on members that the store confirmed. A host that hears nothing longer has no part
/// in what the fleet shares.
inline constexpr common::milliseconds membership_validity{3000};
/// How long a host waits before it takes over from another: the other one may act on older members for as
/// long as these are valid, and what it sent counts for a second more.
inline constexpr common::milliseconds handover_time = membership_validity + common::milliseconds{1000};

/// A host that left the fleet.
struct former_member {
    std::string name;
    common::time_point left_at;
};

/// Hosts of the fleet as one host knows them; replaced as a whole.
struct fleet_view {
    fleet_members members;
    /// Names of all members in order.
    std::vector<std::string> names;
    /// Those that left within the last `handover_time`, and may not know it yet.
    std::vector<former_member> former;
    /// Since when the own host is a member without a break; empty while it is none.
    std::optional<common::time_point> member_since;
    /// The own host's part of all callers; 0 while it is not a member.
    double own_part{0};
};

/// Takes a host in, or its newer entry.
void add_member(fleet_view& view, fleet_member member, std::string_view own_host, common::time_point now);

/// Takes a host out; false when it was none.
bool remove_member(fleet_view& view, std::string_view name, std::string_view own_host,
                   common::time_point now);

/// Drops what is remembered of hosts that left long ago; false when there is nothing to drop.
bool forget_former(fleet_view& view, common::time_point now);

/// Hosts among which the parts of a shared limit are divided, those that left lately included. 0 while this
/// host is no member: it has no part then.
std::size_t sharing_hosts(const fleet_view& view);

} // namespace lycheegap::traffic
