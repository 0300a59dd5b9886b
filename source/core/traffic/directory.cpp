#include "directory.h"

#include <algorithm>
#include <cmath>
#include <functional>
#include <set>
#include <span>
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
constexpr double min_room = 0.01;
// A relay sends each change to a large part of the fleet. Hosts with less than this fraction of the room of
// the best ones would fall behind and hold up all hosts that ask them.
constexpr double min_room_fraction = 0.5;

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

/// Median of the positive values; 0 if there are none.
double median_of(std::vector<double> values) {
    std::erase_if(values, [](double it) { return !(it > 0); });
    if (values.empty()) {
        return 0;
    }
    const auto middle = values.begin() + static_cast<std::ptrdiff_t>(values.size() / 2);
    std::nth_element(values.begin(), middle, values.end());
    return *middle;
}

/// A host that other hosts can ask, with its room for the work of a relay.
struct relay_candidate {
    const fleet_member* host;
    /// Processor or link as a multiple of the fleet's median, whichever is smaller.
    double room;
};

std::vector<relay_candidate> rate_candidates(const fleet_members& members) {
    std::vector<relay_candidate> candidates;
    std::vector<double> capacities;
    std::vector<double> links;
    for (const auto& [name, it] : members) {
        if (!it.peer_address.empty()) {
            candidates.push_back({&it, min_room});
            capacities.push_back(it.capacity);
            links.push_back(it.link);
        }
    }
    const double capacity = median_of(std::move(capacities));
    const double link = median_of(std::move(links));
    for (auto& [host, room] : candidates) {
        const double by_processor = capacity > 0 ? host->capacity / capacity : 1;
        const double by_link = host->link > 0 ? host->link / link : by_processor;
        room = std::max(std::min(by_processor, by_link), min_room);
    }
    return candidates;
}

/// Removes the candidates with little room compared with the best ones.
void drop_small_candidates(std::vector<relay_candidate>& candidates) {
    if (candidates.size() <= max_relays) {
        return;
    }
    std::vector<double> rooms;
    rooms.reserve(candidates.size());
    for (const auto& it : candidates) {
        rooms.push_back(it.room);
    }
    const auto last_best = rooms.begin() + static_cast<std::ptrdiff_t>(max_relays - 1);
    std::nth_element(rooms.begin(), last_best, rooms.end(), std::greater<>());
    const double least = *last_best * min_room_fraction;
    std::erase_if(candidates, [&](const relay_candidate& it) { return it.room < least; });
}

/// Weighted rendezvous hashing: log(u) / weight with u uniform in (0, 1].
double rendezvous_rank(const relay_candidate& it) {
    const double draw = static_cast<double>(common::stable_hash(it.host->name) >> 11U) / draw_range;
    return std::log(std::max(draw, min_draw)) / it.room;
}

/// The first hosts in the order given, those of a failure domain that has one already after all others.
std::vector<std::string> spread_over_domains(std::span<const relay_candidate> candidates, std::size_t limit) {
    std::vector<std::string> names;
    std::vector<std::string> others;
    std::set<std::string_view> domains;
    for (const auto& it : candidates) {
        (domains.insert(it.host->domain).second ? names : others).push_back(it.host->name);
    }
    names.insert(names.end(), others.begin(), others.end());
    names.resize(std::min(limit, names.size()));
    return names;
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
    auto candidates = rate_candidates(members);
    drop_small_candidates(candidates);
    // The names break ties.
    std::sort(candidates.begin(), candidates.end(), [](const auto& a, const auto& b) {
        return std::pair(rendezvous_rank(a), a.host->name) > std::pair(rendezvous_rank(b), b.host->name);
    });
    return spread_over_domains(candidates, max_relays);
}

} // namespace lycheegap::traffic
