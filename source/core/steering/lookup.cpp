#include "lookup.h"

#include <algorithm>
#include <array>
#include <span>

#include "core/common/digest.h"

namespace lycheegap::steering {

namespace {

struct candidate {
    const membership::member* host{nullptr};
    int distance{0};
    std::uint64_t hash{0};
};

constexpr int same_domain_distance = 0;
constexpr int same_region_distance = 1;
constexpr int team_region_distance = 2;
constexpr int other_region_distance = 3;
constexpr int first_weight_percent = 100;
constexpr std::size_t outside_host_count = 2;

/// Distance class of a host: smaller is nearer.
int distance_to(const membership::member& host, const caller_place& place) {
    if (host.failure_domain == place.failure_domain) {
        return same_domain_distance;
    }
    if (host.region == place.region) {
        return same_region_distance;
    }
    return host.region == place.team_region ? team_region_distance : other_region_distance;
}

std::vector<candidate> find_candidates(const membership::generation& current, const caller_place& place,
                                       std::uint64_t seed) {
    std::vector<candidate> found;
    found.reserve(current.members.size());
    for (const auto& it : current.members) {
        if (!it.leaving) {
            found.push_back({&it, distance_to(it, place), common::stable_hash(it.name, seed)});
        }
    }
    return found;
}

bool precedes(const candidate& a, const candidate& b) {
    return a.distance != b.distance ? a.distance < b.distance : a.hash < b.hash;
}

/// Moves one of the nearest hosts to the front. Consecutive seeds select each of them in turn.
void move_first_choice_to_front(std::vector<candidate>& candidates, std::uint64_t seed) {
    const auto nearest =
        std::min_element(candidates.begin(), candidates.end(), [](const candidate& a, const candidate& b) {
            return a.distance < b.distance;
        })->distance;
    const auto is_nearest = [&](const candidate& it) { return it.distance == nearest; };
    auto skipped =
        seed % static_cast<std::uint64_t>(std::count_if(candidates.begin(), candidates.end(), is_nearest));
    const auto first = std::find_if(candidates.begin(), candidates.end(),
                                    [&](const candidate& it) { return is_nearest(it) && skipped-- == 0; });
    std::iter_swap(candidates.begin(), first);
}

/// Sorts only the first `count` candidates, by distance and then by hash, after the one selected by the seed.
/// The hash spreads callers over the others when their first host fails. Sorting all would cost every look-up
/// O(n log n) in the number of hosts.
void order_front(std::vector<candidate>& candidates, std::uint64_t seed, std::size_t count) {
    if (candidates.empty()) {
        return;
    }
    move_first_choice_to_front(candidates, seed);
    const auto ordered = static_cast<std::ptrdiff_t>(std::clamp<std::size_t>(count, 1, candidates.size()));
    std::partial_sort(candidates.begin() + 1, candidates.begin() + ordered, candidates.end(), precedes);
}

using host_relation = bool (*)(const membership::member&, const membership::member&);

/// Index of the foremost candidate from index `from` on that is not in the same location as the first
/// candidate; the number of candidates if there is none.
std::size_t best_outside(std::span<const candidate> candidates, std::size_t from,
                         host_relation is_same_location) {
    const auto& first = *candidates.front().host;
    std::size_t best = candidates.size();
    for (std::size_t n = from; n < candidates.size(); ++n) {
        if (!is_same_location(*candidates[n].host, first) &&
            (best == candidates.size() || precedes(candidates[n], candidates[best]))) {
            best = n;
        }
    }
    return best;
}

bool in_same_domain(const membership::member& a, const membership::member& b) {
    return a.failure_domain == b.failure_domain;
}

bool in_same_region(const membership::member& a, const membership::member& b) {
    return a.region == b.region;
}

/// Moves the candidate at index `from` up to index `to`, if `from` is a valid index after `to`.
void move_up(std::vector<candidate>& candidates, std::size_t from, std::size_t to) {
    if (from < candidates.size() && from > to) {
        const auto begin = candidates.begin();
        std::rotate(begin + static_cast<std::ptrdiff_t>(to), begin + static_cast<std::ptrdiff_t>(from),
                    begin + static_cast<std::ptrdiff_t>(from) + 1);
    }
}

} // namespace

std::vector<host_choice> order_hosts(const membership::generation& current, const caller_place& place,
                                     std::uint64_t seed, std::size_t limit) {
    auto candidates = find_candidates(current, place, seed);
    order_front(candidates, seed, limit);
    if (limit > outside_host_count && candidates.size() > limit) {
        // Leaves the caller with a reachable host if a whole failure domain or region fails before its next
        // look-up.
        const auto outside = limit - outside_host_count;
        move_up(candidates, best_outside(candidates, outside, &in_same_domain), outside);
        move_up(candidates, best_outside(candidates, outside + 1, &in_same_region), outside + 1);
    }
    candidates.resize(std::min(candidates.size(), limit));
    std::vector<host_choice> answer;
    answer.reserve(candidates.size());
    int weight = first_weight_percent;
    for (const auto& it : candidates) {
        answer.push_back({it.host, weight});
        weight /= 2;
    }
    return answer;
}

std::size_t count_nearest(const membership::generation& current, const caller_place& place) {
    std::array<std::size_t, other_region_distance + 1> counts{};
    for (const auto& it : current.members) {
        counts.at(static_cast<std::size_t>(distance_to(it, place))) += it.leaving ? 0 : 1;
    }
    const auto nearest = std::find_if(counts.begin(), counts.end(), [](auto n) { return n > 0; });
    return nearest == counts.end() ? 0 : *nearest;
}

} // namespace lycheegap::steering
