#include "endpoint_choice.h"

#include <algorithm>
#include <cmath>
#include <vector>

namespace lycheegap::steering {

namespace {

constexpr double latency_smoothing = 0.2;
constexpr double report_half_life_s = 0.5;
constexpr double contradiction_trust_factor = 0.5;
constexpr double trust_recovery_per_answer = 0.02;
/// A shed request contradicts a reported load below this.
constexpr double contradicted_load_limit = 0.8;
constexpr double warm_up_duration_s = 5;
constexpr double min_warm_up_share = 0.2;
constexpr auto avoid_after_failure = common::milliseconds(500);
constexpr auto avoid_after_shed = common::milliseconds(20);

std::vector<std::size_t> usable_endpoints(std::span<const endpoint_state> endpoints, std::string_view region,
                                          std::string_view excluded, common::time_point now) {
    std::vector<std::size_t> usable;
    for (std::size_t n = 0; n < endpoints.size(); ++n) {
        const bool in_region = region.empty() || endpoints[n].region == region;
        if (in_region && may_use(endpoints[n], excluded, now)) {
            usable.push_back(n);
        }
    }
    return usable;
}

/// Weight of the last report, 0 to 1. It decays with age and drops when shed requests contradict the report.
double report_weight(const endpoint_state& endpoint, common::time_point now) {
    const double age_s = std::max(0.0, common::seconds_between(endpoint.reported_at, now));
    return endpoint.report_trust * std::exp2(-age_s / report_half_life_s);
}

/// Factor from `min_warm_up_share` to 1 by which an endpoint that is warming up is weighted.
double warm_up_share(const endpoint_state& endpoint, common::time_point now) {
    if (endpoint.cold_since == common::time_point{}) {
        return 1;
    }
    const double age_s = std::max(0.0, common::seconds_between(endpoint.cold_since, now));
    return std::clamp(age_s / warm_up_duration_s, min_warm_up_share, 1.0);
}

/// Gives an endpoint that has not answered yet the latency of the other candidate, not a latency of 0.
double latency_or_default_ms(const endpoint_state& endpoint, double default_ms) {
    return endpoint.latency_ms > 0 ? endpoint.latency_ms : default_ms;
}

/// Load including the new request, times latency, and higher while the endpoint warms up.
double expected_cost(const endpoint_state& endpoint, double other_latency_ms, common::time_point now) {
    const double own_load = static_cast<double>(endpoint.in_flight + 1) / endpoint.slots;
    const double load = own_load + report_weight(endpoint, now) * endpoint.reported_load;
    return load * (1.0 + latency_or_default_ms(endpoint, other_latency_ms)) / warm_up_share(endpoint, now);
}

std::size_t cheaper_of(std::span<const endpoint_state> endpoints, std::size_t a, std::size_t b,
                       common::time_point now) {
    const auto& first = endpoints[a];
    const auto& second = endpoints[b];
    const bool first_is_cheaper =
        expected_cost(first, second.latency_ms, now) <= expected_cost(second, first.latency_ms, now);
    return first_is_cheaper ? a : b;
}

/// Power of two choices: the cheaper of two distinct random endpoints among the usable ones.
std::optional<std::size_t> choose_of_two(std::span<const endpoint_state> endpoints,
                                         std::span<const std::size_t> usable, common::time_point now,
                                         random_engine& random) {
    if (usable.empty()) {
        return std::nullopt;
    }
    if (usable.size() == 1) {
        return usable.front();
    }
    std::uniform_int_distribution<std::size_t> pick_first(0, usable.size() - 1);
    std::uniform_int_distribution<std::size_t> pick_offset(1, usable.size() - 1);
    const auto first = pick_first(random);
    const auto second = (first + pick_offset(random)) % usable.size();
    return cheaper_of(endpoints, usable[first], usable[second], now);
}

} // namespace

bool may_use(const endpoint_state& endpoint, std::string_view excluded, common::time_point now) {
    return !endpoint.draining && endpoint.address != excluded && endpoint.avoid_until <= now &&
           endpoint.in_flight < endpoint.slots;
}

std::optional<std::size_t> choose_in_region(std::span<const endpoint_state> endpoints,
                                            std::string_view region, std::string_view excluded,
                                            common::time_point now, random_engine& random) {
    return choose_of_two(endpoints, usable_endpoints(endpoints, region, excluded, now), now, random);
}

std::optional<std::size_t> choose_endpoint(std::span<const endpoint_state> endpoints, std::string_view region,
                                           std::string_view excluded, common::time_point now,
                                           random_engine& random) {
    const auto local = choose_in_region(endpoints, region, excluded, now, random);
    return local ? local : choose_in_region(endpoints, {}, excluded, now, random);
}

void note_latency(endpoint_state& endpoint, double latency_ms, common::time_point now) {
    endpoint.failing = false;
    endpoint.observed_at = now;
    endpoint.report_trust = std::min(1.0, endpoint.report_trust + trust_recovery_per_answer);
    if (endpoint.latency_ms == 0) {
        endpoint.latency_ms = latency_ms;
        return;
    }
    endpoint.latency_ms += latency_smoothing * (latency_ms - endpoint.latency_ms);
}

void note_report(endpoint_state& endpoint, const endpoint_report& report, common::time_point now) {
    if (endpoint.draining && !report.draining) {
        endpoint.cold_since = now;
    }
    if (endpoint.draining != report.draining) {
        endpoint.shared_at = {};
    }
    endpoint.draining = report.draining;
    endpoint.failing = false;
    endpoint.reported_load = std::clamp(report.load, 0.0, 1.0);
    endpoint.reported_at = now;
    endpoint.observed_at = now;
}

void note_shed(endpoint_state& endpoint, common::time_point now) {
    if (endpoint.reported_load < contradicted_load_limit) {
        endpoint.report_trust *= contradiction_trust_factor;
    }
    endpoint.avoid_until = now + avoid_after_shed;
    endpoint.observed_at = now;
}

void note_failure(endpoint_state& endpoint, common::time_point now) {
    endpoint.failing = true;
    endpoint.avoid_until = now + avoid_after_failure;
    endpoint.cold_since = now + avoid_after_failure;
    endpoint.observed_at = now;
}

} // namespace lycheegap::steering
