#include "placement.h"

#include <algorithm>
#include <vector>

#include "core/common/digest.h"

namespace lycheegap::traffic {

namespace {

// Hosts that may use one cold endpoint; more would leave each less than one request a second.
constexpr std::size_t cold_hosts = 2;
// Part of the cold limit that is used: hosts may differ for a moment on who the few are.
constexpr double cold_use = 0.6;
// Endpoints that serve one object before load alone decides.
constexpr std::size_t warm_ranks = 3;
constexpr common::milliseconds one_second{1000};

struct candidate {
    endpoint_ptr endpoint;
    std::uint64_t rank{0};
    double load{0};
};

bool contains(std::span<const std::string> all, std::string_view it) {
    return std::find(all.begin(), all.end(), it) != all.end();
}

bool may_serve(const endpoint_set& set, const endpoint_state& it, const placement_request& wanted) {
    return accepts_work(set, it) && (wanted.regions.empty() || contains(wanted.regions, it.entry.region)) &&
           !contains(wanted.tried, it.entry.id);
}

double cold_share(const placement_request& wanted) {
    const auto sharers = std::min(cold_hosts, std::max<std::size_t>(wanted.hosts.size(), 1));
    return std::max(1.0, wanted.cold_limit * cold_use / static_cast<double>(sharers));
}

/// Whether a cold endpoint has room for one more request of this host.
bool has_cold_room(endpoint_state& it, const placement_request& wanted, common::time_point now) {
    return may_use_cold(wanted, it.entry.id) &&
           static_cast<double>(count_in(it.cold_sends, now, one_second)) + 1 <= cold_share(wanted);
}

std::uint64_t rank_of(const endpoint_state& it, const placement_request& wanted) {
    if (wanted.object.empty()) {
        return 0;
    }
    return common::stable_hash(it.entry.id, common::stable_hash(wanted.object));
}

std::vector<candidate> candidates_for(endpoint_set& set, const placement_request& wanted,
                                      common::time_point now) {
    std::vector<candidate> found;
    const auto all = set.by_service.find(wanted.service);
    if (all == set.by_service.end()) {
        return found;
    }
    for (const auto& it : all->second) {
        if (!may_serve(set, *it, wanted) || (it->cold_until > now && !has_cold_room(*it, wanted, now))) {
            continue;
        }
        found.push_back({it, rank_of(*it, wanted), estimated_load(*it, now)});
    }
    return found;
}

bool has_room(const candidate& it, common::time_point now) {
    return it.load < it.endpoint->entry.slots && it.endpoint->avoided_until <= now;
}

double relative_load(const candidate& it, common::time_point now) {
    const double avoided = it.endpoint->avoided_until > now ? 1.0 : 0.0;
    return avoided + it.load / std::max(1, it.endpoint->entry.slots);
}

const candidate& least_loaded(const std::vector<candidate>& all, common::time_point now) {
    return *std::min_element(all.begin(), all.end(), [&](const candidate& a, const candidate& b) {
        return relative_load(a, now) < relative_load(b, now);
    });
}

const candidate& choose(std::vector<candidate>& all, const placement_request& wanted, common::time_point now) {
    if (wanted.object.empty()) {
        return least_loaded(all, now);
    }
    const auto last = all.begin() + static_cast<std::ptrdiff_t>(std::min(warm_ranks, all.size()));
    std::partial_sort(all.begin(), last, all.end(),
                      [](const candidate& a, const candidate& b) { return a.rank > b.rank; });
    const auto warm = std::find_if(all.begin(), last, [&](const candidate& it) { return has_room(it, now); });
    return warm != last ? *warm : least_loaded(all, now);
}

} // namespace

bool may_use_cold(const placement_request& wanted, std::string_view endpoint_id) {
    const auto seed = common::stable_hash(endpoint_id);
    const auto own = common::stable_hash(wanted.host, seed);
    const auto before = std::count_if(wanted.hosts.begin(), wanted.hosts.end(), [&](const std::string& it) {
        return it != wanted.host && common::stable_hash(it, seed) > own;
    });
    return static_cast<std::size_t>(before) < cold_hosts;
}

endpoint_ptr place_request(endpoint_set& set, const placement_request& wanted, common::time_point now) {
    auto all = candidates_for(set, wanted, now);
    if (all.empty()) {
        return nullptr;
    }
    const auto chosen = choose(all, wanted, now).endpoint;
    if (chosen->cold_until > now) {
        chosen->cold_sends.moments.push_back(now);
    }
    return chosen;
}

bool has_free_slot(const endpoint_set& set, const placement_request& wanted, common::time_point now) {
    const auto all = set.by_service.find(wanted.service);
    return all != set.by_service.end() &&
           std::any_of(all->second.begin(), all->second.end(), [&](const endpoint_ptr& it) {
               return may_serve(set, *it, wanted) && estimated_load(*it, now) < it->entry.slots;
           });
}

} // namespace lycheegap::traffic
