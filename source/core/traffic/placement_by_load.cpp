#include "placement_by_load.h"

#include <algorithm>
#include <utility>
#include <vector>

#include "core/common/digest.h"

namespace lycheegap::traffic {

namespace {

// Endpoints that serve the requests for one object. With more, each endpoint would get requests for more
// objects and have few of them cached.
constexpr std::size_t preferred_endpoints_per_object = 2;
// Relative load (requests per slot) below which a preferred endpoint gets further requests, which queue there
// when all slots are taken. A short wait costs less than serving the object on an endpoint that has not
// cached it; a longer one would delay every answer past its target. Requests without an object have the same
// limit on any endpoint.
constexpr double max_queueing_load = 1.4;
// Relative load below which an endpoint that is not preferred for the object may take the request.
constexpr double max_fallback_load = 0.75;

struct candidate {
    endpoint_ptr endpoint;
    /// Rendezvous rank for the object; the highest ones are preferred.
    std::uint64_t rank{0};
    /// Estimated number of requests at the endpoint.
    double load{0};
    /// It failed recently, or has not answered for too long.
    bool avoided{false};
};

std::uint64_t rendezvous_rank(const endpoint_state& it, const placement_request& request) {
    if (request.object_key.empty()) {
        return 0;
    }
    return common::stable_hash(it.entry.id, common::stable_hash(request.object_key));
}

std::vector<candidate> candidates_for(endpoint_set& set, const placement_request& request,
                                      common::time_point now) {
    std::vector<candidate> found;
    const auto all = set.by_service.find(request.service);
    if (all == set.by_service.end()) {
        return found;
    }
    for (const auto& it : all->second) {
        if (!may_serve(set, *it, request) || is_resting(*it, now) || !has_fleet_room(*it, request, now)) {
            continue;
        }
        const bool avoided = is_avoided(*it, request, now);
        if (avoided && request.needs_free_slot) {
            continue;
        }
        found.push_back({it, rendezvous_rank(*it, request), estimated_load(*it, now), avoided});
    }
    return found;
}

/// Requests per slot.
double relative_load(const candidate& it) {
    return it.load / std::max(1, it.endpoint->entry.slots);
}

/// Returns the candidate with the lowest relative load, avoided ones last, or null if that load is not below
/// `limit`.
const candidate* least_loaded(std::span<const candidate> all, double limit) {
    const auto least = std::min_element(all.begin(), all.end(), [&](const candidate& a, const candidate& b) {
        return std::pair(a.avoided, relative_load(a)) < std::pair(b.avoided, relative_load(b));
    });
    return least != all.end() && relative_load(*least) < limit ? &*least : nullptr;
}

/// Returns the first candidate that is not avoided and has a free slot, or null.
const candidate* first_with_free_slot(std::span<const candidate> preferred) {
    const auto found = std::find_if(preferred.begin(), preferred.end(), [&](const candidate& it) {
        return !it.avoided && it.load + 1 <= it.endpoint->entry.slots;
    });
    return found != preferred.end() ? &*found : nullptr;
}

const candidate* choose_candidate(std::span<candidate> all, const placement_request& request) {
    const double max_load = request.needs_free_slot ? max_fallback_load : max_queueing_load;
    if (request.object_key.empty()) {
        return least_loaded(all, max_load);
    }
    const auto ranks = std::min(preferred_endpoints_per_object, all.size());
    std::partial_sort(all.begin(), all.begin() + static_cast<std::ptrdiff_t>(ranks), all.end(),
                      [](const candidate& a, const candidate& b) { return a.rank > b.rank; });
    const auto preferred = all.first(ranks);
    // Both have the object cached, so the local region goes first: crossing regions costs time and bandwidth.
    const auto region = request.target_region.empty() ? request.region : request.target_region;
    std::stable_partition(preferred.begin(), preferred.end(),
                          [&](const candidate& it) { return it.endpoint->entry.region == region; });
    if (const auto* free = first_with_free_slot(preferred)) {
        return free;
    }
    if (const auto* short_wait = least_loaded(preferred, max_load)) {
        return short_wait;
    }
    return least_loaded(all, max_fallback_load);
}

} // namespace

endpoint_ptr place_by_load(endpoint_set& set, const placement_request& request, common::time_point now) {
    auto all = candidates_for(set, request, now);
    if (all.empty()) {
        return nullptr;
    }
    const auto* found = choose_candidate(all, request);
    if (found == nullptr) {
        return nullptr;
    }
    auto chosen = found->endpoint;
    count_placement(*chosen, request, now);
    return chosen;
}

} // namespace lycheegap::traffic
