#include "directory.h"

#include <algorithm>
#include <cmath>
#include <functional>
#include <set>
#include <utility>

#include "core/common/digest.h"

namespace lycheegap::traffic {

namespace {

// Fewer hosts than this leave callers without one when two fail.
constexpr std::size_t enough_hosts = 3;
// Two relays may be lost at once, and each one follows the store at the cost of a call for each change.
constexpr std::size_t relay_count = 3;

constexpr double hash_range = 9007199254740992.0; // 2^53
constexpr double least_draw = 1e-12;
constexpr double least_capacity = 0.01;

template <typename Predicate>
std::vector<const fleet_member*> select(const fleet_members& members, Predicate fits) {
    std::vector<const fleet_member*> found;
    for (const auto& [name, it] : members) {
        if (!it.request_address.empty() && fits(it)) {
            found.push_back(&it);
        }
    }
    return found;
}

} // namespace

std::vector<const fleet_member*> hosts_for(const fleet_members& members, std::string_view region,
                                           std::string_view domain, std::size_t limit) {
    auto found = select(members, [&](const fleet_member& it) { return it.domain == domain; });
    if (found.size() < enough_hosts) {
        found = select(members, [&](const fleet_member& it) { return it.region == region; });
    }
    if (found.empty()) {
        found = select(members, [](const fleet_member&) { return true; });
    }
    if (found.size() > limit) {
        found.resize(limit);
    }
    return found;
}

double expected_part(const fleet_members& members, std::string_view host) {
    std::set<std::pair<std::string_view, std::string_view>> places;
    for (const auto& [name, it] : members) {
        places.emplace(it.region, it.domain);
    }
    double part = 0;
    for (const auto& [region, domain] : places) {
        const auto named = hosts_for(members, region, domain, members.size());
        const bool is_named =
            std::any_of(named.begin(), named.end(), [&](const fleet_member* it) { return it->name == host; });
        part += is_named ? 1.0 / static_cast<double>(named.size() * places.size()) : 0.0;
    }
    return part;
}

std::vector<std::string> relay_hosts(const fleet_members& members) {
    using rank = std::pair<double, std::string>;
    std::vector<rank> ranks;
    for (const auto& [name, it] : members) {
        if (!it.peer_address.empty()) {
            const double draw = static_cast<double>(common::stable_hash(name) >> 11U) / hash_range;
            ranks.emplace_back(std::log(std::max(draw, least_draw)) / std::max(it.capacity, least_capacity),
                               name);
        }
    }
    std::sort(ranks.begin(), ranks.end(), std::greater<>());
    std::vector<std::string> names;
    for (std::size_t n = 0; n < std::min(relay_count, ranks.size()); ++n) {
        names.push_back(ranks[n].second);
    }
    return names;
}

} // namespace lycheegap::traffic
