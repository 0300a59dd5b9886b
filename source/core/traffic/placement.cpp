#include "placement.h"

#include <algorithm>
#include <utility>
#include <vector>

#include "core/common/digest.h"

namespace lycheegap::traffic {

namespace {

// Endpoints that serve one object. More would leave each of them cold for most objects.
constexpr std::size_t warm_ranks = 2;
// Load up to which a warm endpoint takes more than it has slots: a short wait there is better than cold work,
// and a longer one would make every answer late.
constexpr double crowded = 1.4;
// Load up to which an endpoint that is not warm for the object counts as free.
constexpr double spare = 0.75;
// An endpoint that answers nothing for so many times the latency that callers expect may have gone dark: on a
// kept connection nothing but silence shows it. Cold work takes up to twice as long as callers expect.
constexpr int silence_factor = 3;
constexpr common::milliseconds least_silence{800};

struct candidate {
    endpoint_ptr endpoint;
    std::uint64_t rank{0};
    double load{0};
    /// It failed lately, or answers nothing.
    bool avoided{false};
};

bool contains(std::span<const std::string> all, std::string_view it) {
    return std::find(all.begin(), all.end(), it) != all.end();
}

bool may_serve(const endpoint_set& set, const endpoint_state& it, const placement_request& wanted) {
    return accepts_work(set, it) && (wanted.regions.empty() || contains(wanted.regions, it.entry.region)) &&
           !contains(wanted.tried, it.entry.id);
}

std::uint64_t rank_of(const endpoint_state& it, const placement_request& wanted) {
    if (wanted.object.empty()) {
        return 0;
    }
    return common::stable_hash(it.entry.id, common::stable_hash(wanted.object));
}

bool is_avoided(const endpoint_state& it, const placement_request& wanted, common::time_point now) {
    const auto silence = std::max(least_silence, wanted.target_latency * silence_factor);
    return it.avoided_until > now || (it.silent_since && now - *it.silent_since > silence);
}

std::vector<candidate> candidates_for(endpoint_set& set, const placement_request& wanted,
                                      common::time_point now) {
    std::vector<candidate> found;
    const auto all = set.by_service.find(wanted.service);
    if (all == set.by_service.end()) {
        return found;
    }
    for (const auto& it : all->second) {
        if (!may_serve(set, *it, wanted) || (is_cold(*it, now) && cold_room(*it, wanted, now) < 1)) {
            continue;
        }
        found.push_back({it, rank_of(*it, wanted), estimated_load(*it, now), is_avoided(*it, wanted, now)});
    }
    return found;
}

double relative_load(const candidate& it) {
    return it.load / std::max(1, it.endpoint->entry.slots);
}

/// Least loaded one, avoided ones last; null when its load is not below `limit`.
const candidate* least_loaded(std::span<const candidate> all, double limit) {
    const auto least = std::min_element(all.begin(), all.end(), [&](const candidate& a, const candidate& b) {
        return std::pair(a.avoided, relative_load(a)) < std::pair(b.avoided, relative_load(b));
    });
    return least != all.end() && relative_load(*least) < limit ? &*least : nullptr;
}

/// First of the warm ones with a free slot.
const candidate* first_free(std::span<const candidate> warm) {
    const auto found = std::find_if(warm.begin(), warm.end(), [&](const candidate& it) {
        return !it.avoided && it.load + 1 <= it.endpoint->entry.slots;
    });
    return found != warm.end() ? &*found : nullptr;
}

const candidate* choose(std::span<candidate> all, const placement_request& wanted) {
    if (wanted.object.empty()) {
        return least_loaded(all, crowded);
    }
    const auto ranks = std::min(warm_ranks, all.size());
    std::partial_sort(all.begin(), all.begin() + static_cast<std::ptrdiff_t>(ranks), all.end(),
                      [](const candidate& a, const candidate& b) { return a.rank > b.rank; });
    const auto warm = all.first(ranks);
    // A crossing between regions costs time and bytes; both are warm for the object.
    std::stable_partition(warm.begin(), warm.end(),
                          [&](const candidate& it) { return it.endpoint->entry.region == wanted.region; });
    if (const auto* free = first_free(warm)) {
        return free;
    }
    if (const auto* short_wait = least_loaded(warm, crowded)) {
        return short_wait;
    }
    return least_loaded(all, spare);
}

} // namespace

double cold_room(endpoint_state& it, const placement_request& wanted, common::time_point now) {
    if (now < it.cold.usable_from || !has_cold_share(wanted.knowledge, it.entry.id, wanted.cold_limit, now)) {
        return 0;
    }
    return cold_share(wanted.cold_limit) - static_cast<double>(count_in(it.cold_sends, now, cold_window));
}

endpoint_ptr place_request(endpoint_set& set, const placement_request& wanted, common::time_point now) {
    auto all = candidates_for(set, wanted, now);
    if (all.empty()) {
        return nullptr;
    }
    const auto* found = choose(all, wanted);
    if (found == nullptr) {
        return nullptr;
    }
    auto chosen = found->endpoint;
    if (is_cold(*chosen, now)) {
        chosen->cold_sends.moments.push_back(now);
    }
    return chosen;
}

} // namespace lycheegap::traffic
