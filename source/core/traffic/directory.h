#pragma once

#include <cstdint>
#include <map>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace lycheegap::traffic {

/// A host of the fleet as it registered.
struct fleet_member {
    std::string name;
    std::string region;
    std::string domain;
    /// Where it takes requests of callers.
    std::string request_address;
    /// Where it takes messages of other hosts.
    std::string peer_address;
    /// Weight among the hosts of a region, from its processor share.
    double capacity{1};
    /// Unix ms of the process's start.
    std::int64_t born{0};
    /// Lease that holds its entry in the store.
    std::uint64_t lease{0};
};

/// All hosts by name.
using fleet_members = std::map<std::string, fleet_member, std::less<>>;

/// Hosts that a caller of `region` and `domain` should use: those of its domain when there are enough of
/// them, else of its region, else all. At most `limit`.
std::vector<const fleet_member*> hosts_for(const fleet_members& members, std::string_view region,
                                           std::string_view domain, std::size_t limit);

/// Part of all callers that look-ups send to the host, from 0 to 1, when each domain of the fleet has as many
/// callers as any other. The parts of all hosts sum up to one.
double expected_part(const fleet_members& members, std::string_view host);

/// Hosts that follow the store themselves; the others follow these. Strong hosts come first, and every host
/// that knows the same members names the same ones.
std::vector<std::string> relay_hosts(const fleet_members& members);

} // namespace lycheegap::traffic
