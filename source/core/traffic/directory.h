#pragma once

#include <cstdint>
#include <map>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace lycheegap::traffic {

/// A host's entry in the membership store.
struct fleet_member {
    std::string name;
    std::string region;
    /// Failure domain that it runs in.
    std::string domain;
    /// "ip:port" for callers' requests; empty if it accepts none.
    std::string request_address;
    /// "ip:port" for messages from other hosts; empty if it accepts none.
    std::string peer_address;
    /// Relative weight, derived from its processor share.
    double capacity{1};
    /// Bandwidth of its network link, Mbit/s; 0 if unknown.
    double link{0};
    /// Start time of the process, Unix ms.
    std::int64_t started_unix_ms{0};
    /// Lease in the store that the entry is bound to.
    std::uint64_t lease{0};
};

/// Members by host name.
using fleet_members = std::map<std::string, fleet_member, std::less<>>;

/// Returns the hosts that callers in `region` and `domain` are directed to: those of the failure domain if
/// there are enough, else those of the region, else all. At most `limit` hosts, in order of name.
std::vector<const fleet_member*> hosts_for(const fleet_members& members, std::string_view region,
                                           std::string_view domain, std::size_t limit);

/// Share of all callers, from 0 to 1, that `hosts_for` directs to the host if each failure domain has equally
/// many callers and these spread evenly. The shares of all hosts sum to one.
double expected_caller_share(const fleet_members& members, std::string_view host);

/// Names of the relays: the hosts that watch the store directly and pass its changes on to the others. Chosen
/// by weighted rendezvous hashing among the hosts with room for it, by processor and link, and in different
/// failure domains where possible; hosts with the same members choose the same relays.
std::vector<std::string> relay_hosts(const fleet_members& members);

} // namespace lycheegap::traffic
