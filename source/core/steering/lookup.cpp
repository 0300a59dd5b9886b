#include "lookup.h"

#include <algorithm>
#include <cstdint>

#include "core/common/digest.h"

namespace lycheegap::steering {

namespace {

struct candidate {
    const membership::member* host{nullptr};
    int distance{0};
    std::uint64_t order{0};
};

constexpr int same_domain = 0;
constexpr int same_region = 1;
constexpr int elsewhere = 2;
constexpr int first_weight_percent = 100;

int distance_to(const membership::member& host, const caller_place& place) {
    if (host.failure_domain == place.failure_domain) {
        return same_domain;
    }
    return host.region == place.region ? same_region : elsewhere;
}

bool is_before(const candidate& a, const candidate& b) {
    return a.distance != b.distance ? a.distance < b.distance : a.order < b.order;
}

} // namespace

std::vector<host_choice> order_hosts(const membership::generation& current, const caller_place& place,
                                     std::uint64_t seed, std::size_t limit) {
    std::vector<candidate> candidates;
    candidates.reserve(current.members.size());
    for (const auto& it : current.members) {
        if (!it.leaving) {
            candidates.push_back({&it, distance_to(it, place), common::stable_hash(it.name, seed)});
        }
    }
    std::sort(candidates.begin(), candidates.end(), is_before);
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

} // namespace lycheegap::steering
