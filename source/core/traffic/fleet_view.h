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

/// How long a membership list stays valid after the store confirmed it. Without a newer confirmation, a host
/// uses no share of a cold endpoint's limit and lends no tokens.
inline constexpr common::milliseconds membership_validity{3000};
/// How long a host waits before it takes over a share from another one: the other may use an older membership
/// list while that is valid, and its last requests count against limits for one more second.
inline constexpr common::milliseconds handover_time = membership_validity + common::milliseconds{1000};

/// A host that recently left the fleet.
struct former_member {
    std::string name;
    common::time_point left_at;
};

/// How long a host that left the fleet is remembered with its addresses. It may run on, and come back without
/// this host noticing.
inline constexpr common::milliseconds departed_time{600'000};
inline constexpr std::size_t max_departed_hosts = 64;

/// A host that left the fleet and has not been seen to come back.
struct departed_host {
    fleet_member entry;
    common::time_point left_at;
};

/// The fleet's membership as seen by one host (the own host). Readers share immutable snapshots.
struct fleet_view {
    fleet_members members;
    /// Names of all members, sorted.
    std::vector<std::string> names;
    /// Hosts that left within the last `handover_time` and may not know it yet.
    std::vector<former_member> former;
    /// Hosts that left within `departed_time`, the last ones, oldest first.
    std::vector<departed_host> departed;
    /// Since when the own host has been a member without interruption; empty while it is not a member.
    std::optional<common::time_point> member_since;
    /// Expected share of all callers that use the own host, from 0 to 1; 0 while it is not a member.
    double own_caller_share{0};
};

/// A host that joined or changed its entry or, without `member`, left.
struct member_change {
    std::string name;
    std::optional<fleet_member> member;
};

/// Applies changes in their order and returns the names of the members that left. What is derived from the
/// members is computed once for all changes.
std::vector<std::string> change_members(fleet_view& view, std::vector<member_change> changes,
                                        std::string_view own_host, common::time_point now);

/// Adds a host, or replaces its entry.
void add_member(fleet_view& view, fleet_member member, std::string_view own_host, common::time_point now);

/// Removes a host and remembers it as a former member. Returns false if it was not a member.
bool remove_member(fleet_view& view, std::string_view name, std::string_view own_host,
                   common::time_point now);

/// Whether there is a host that `forget_former` would drop.
bool has_expired_former(const fleet_view& view, common::time_point now);

/// Drops former members that left at least `handover_time` ago, and departed hosts that left at least
/// `departed_time` ago. Returns whether any was dropped.
bool forget_former(fleet_view& view, common::time_point now);

/// Number of hosts among which a fleet-wide limit is divided: members and former members. 0 while the own
/// host is not a member, as it has no share then.
std::size_t sharing_hosts(const fleet_view& view);

} // namespace lycheegap::traffic
