#include "directory.h"

#include <algorithm>
#include <cmath>
#include <functional>
#include <set>
#include <utility>

#include "core/common/digest.h"

namespace lycheegap::traffic {

namespace {

// With fewer hosts, callers would have none left after two failures.
constexpr std::size_t min_domain_hosts = 3;
// Tolerates the loss of two relays at once. Each relay costs the store one call per change.
constexpr std::size_t max_relays = 3;

constexpr double draw_range = 9007199254740992.0; // 2^53
constexpr double min_draw = 1e-12;                // keeps the logarithm finite
constexpr double min_capacity = 0.01;

/// Members that accept callers' requests and match the predicate.
template <typename Predicate>
std::vector<const fleet_member*> select_members(const fleet_members& members, Predicate matches) {
    std::vector<const fleet_member*> found;
    for (const auto& [name, it] : members) {
        if (!it.request_address.empty() && matches(it)) {
            found.push_back(&it);
        }
    }
    return found;
}

} // namespace

std::vector<const fleet_member*> hosts_for(const fleet_members& members, std::string_view region,
                                           std::string_view domain, std::size_t limit) {
    auto found = select_members(members, [&](const fleet_member& it) { return it.domain == domain; });
    if (found.size() < min_domain_hosts) {
        found = select_members(members, [&](const fleet_member& it) { return it.region == region; });
    }
    if (found.empty()) {
        found = select_members(members, [](const fleet_member&) { return true; });
    }
    if (found.size() > limit) {
        found.resize(limit);
    }
    return found;
}

double expected_caller_share(const fleet_members& members, std::string_view host) {
    std::set<std::pair<std::string_view, std::string_view>> domains;
    for (const auto& [name, it] : members) {
        domains.emplace(it.region, it.domain);
    }
    double share = 0;
    for (const auto& [region, domain] : domains) {
        const auto eligible = hosts_for(members, region, domain, members.size());
        const bool is_eligible = std::any_of(eligible.begin(), eligible.end(),
                                             [&](const fleet_member* it) { return it->name == host; });
        share += is_eligible ? 1.0 / static_cast<double>(eligible.size() * domains.size()) : 0.0;
    }
    return share;
}

std::vector<std::string> relay_hosts(const fleet_members& members) {
    using rank = std::pair<double, std::string>;
    std::vector<rank> ranks;
    for (const auto& [name, it] : members) {
        if (!it.peer_address.empty()) {
            // Weighted rendezvous hashing: log(u) / weight with u uniform in (0, 1].
            const double draw = static_cast<double>(common::stable_hash(name) >> 11U) / draw_range;
            ranks.emplace_back(std::log(std::max(draw, min_draw)) / std::max(it.capacity, min_capacity),
                               name);
        }
    }
    std::sort(ranks.begin(), ranks.end(), std::greater<>());
    std::vector<std::string> names;
    for (std::size_t n = 0; n < std::min(max_relays, ranks.size()); ++n) {
        names.push_back(ranks[n].second);
    }
    return names;
}

} // namespace lycheegap::traffic
