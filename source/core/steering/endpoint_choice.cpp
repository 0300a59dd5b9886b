#include "endpoint_choice.h"

#include <vector>

namespace lycheegap::steering {

namespace {

constexpr double latency_share_of_newest = 0.2;

bool may_use(const endpoint_state& it, std::string_view excluded, common::time_point now) {
    return !it.leaving && it.address != excluded && it.avoid_until <= now && it.in_flight < it.slots;
}

std::vector<std::size_t> usable(std::span<const endpoint_state> endpoints, std::string_view region,
                                std::string_view excluded, common::time_point now) {
    std::vector<std::size_t> found;
    for (std::size_t n = 0; n < endpoints.size(); ++n) {
        const bool fits = region.empty() || endpoints[n].region == region;
        if (fits && may_use(endpoints[n], excluded, now)) {
            found.push_back(n);
        }
    }
    return found;
}

double cost(const endpoint_state& it) {
    const double load = static_cast<double>(it.in_flight + 1) / it.slots;
    return load * (1.0 + it.latency_ms);
}

} // namespace

std::optional<std::size_t> choose_endpoint(std::span<const endpoint_state> endpoints, std::string_view region,
                                           std::string_view excluded, common::time_point now,
                                           random_engine& random) {
    auto found = usable(endpoints, region, excluded, now);
    if (found.empty()) {
        found = usable(endpoints, {}, excluded, now);
    }
    if (found.empty()) {
        return std::nullopt;
    }
    std::uniform_int_distribution<std::size_t> any(0, found.size() - 1);
    const auto first = found[any(random)];
    const auto second = found[any(random)];
    return cost(endpoints[first]) <= cost(endpoints[second]) ? first : second;
}

void note_latency(endpoint_state& endpoint, double latency_ms) {
    if (endpoint.latency_ms == 0) {
        endpoint.latency_ms = latency_ms;
        return;
    }
    endpoint.latency_ms += latency_share_of_newest * (latency_ms - endpoint.latency_ms);
}

} // namespace lycheegap::steering
