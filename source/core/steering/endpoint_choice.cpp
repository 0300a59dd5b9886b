#include "endpoint_choice.h"

#include <algorithm>
#include <cmath>
#include <vector>

namespace lycheegap::steering {

namespace {

constexpr double latency_share_of_newest = 0.2;
constexpr double report_half_life_s = 0.5;
constexpr double trust_after_contradiction = 0.5;
constexpr double trust_regained = 0.02;
constexpr double free_load = 0.8;
constexpr double warm_up_s = 5;
constexpr double coldest_share = 0.2;
constexpr auto avoid_after_failure = common::milliseconds(500);
constexpr auto avoid_after_shed = common::milliseconds(20);

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

/// Weight of the last report: it fades with age and with contradiction.
double report_weight(const endpoint_state& it, common::time_point now) {
    const double age_s = std::max(0.0, common::seconds_between(it.reported_at, now));
    return it.report_trust * std::exp2(-age_s / report_half_life_s);
}

/// Part of a full share that a cold endpoint gets.
double warm_share(const endpoint_state& it, common::time_point now) {
    if (it.cold_since == common::time_point{}) {
        return 1;
    }
    const double age_s = std::max(0.0, common::seconds_between(it.cold_since, now));
    return std::clamp(age_s / warm_up_s, coldest_share, 1.0);
}

/// An endpoint without an answer yet counts as fast as the others, not as infinitely fast.
double latency_or(const endpoint_state& it, double otherwise_ms) {
    return it.latency_ms > 0 ? it.latency_ms : otherwise_ms;
}

double cost(const endpoint_state& it, double other_latency_ms, common::time_point now) {
    const double own_load = static_cast<double>(it.in_flight + 1) / it.slots;
    const double load = own_load + report_weight(it, now) * it.reported_load;
    return load * (1.0 + latency_or(it, other_latency_ms)) / warm_share(it, now);
}

std::size_t better_of(std::span<const endpoint_state> endpoints, std::size_t a, std::size_t b,
                      common::time_point now) {
    const auto& first = endpoints[a];
    const auto& second = endpoints[b];
    const bool first_wins = cost(first, second.latency_ms, now) <= cost(second, first.latency_ms, now);
    return first_wins ? a : b;
}

std::optional<std::size_t> choose_among(std::span<const endpoint_state> endpoints,
                                        std::span<const std::size_t> found, common::time_point now,
                                        random_engine& random) {
    if (found.empty()) {
        return std::nullopt;
    }
    if (found.size() == 1) {
        return found.front();
    }
    std::uniform_int_distribution<std::size_t> any(0, found.size() - 1);
    std::uniform_int_distribution<std::size_t> any_other(1, found.size() - 1);
    const auto first = any(random);
    const auto second = (first + any_other(random)) % found.size();
    return better_of(endpoints, found[first], found[second], now);
}

} // namespace

bool may_use(const endpoint_state& it, std::string_view excluded, common::time_point now) {
    return !it.leaving && it.address != excluded && it.avoid_until <= now && it.in_flight < it.slots;
}

std::optional<std::size_t> choose_in_region(std::span<const endpoint_state> endpoints,
                                            std::string_view region, std::string_view excluded,
                                            common::time_point now, random_engine& random) {
    return choose_among(endpoints, usable(endpoints, region, excluded, now), now, random);
}

std::optional<std::size_t> choose_endpoint(std::span<const endpoint_state> endpoints, std::string_view region,
                                           std::string_view excluded, common::time_point now,
                                           random_engine& random) {
    const auto near = choose_in_region(endpoints, region, excluded, now, random);
    return near ? near : choose_in_region(endpoints, {}, excluded, now, random);
}

void note_latency(endpoint_state& endpoint, double latency_ms, common::time_point now) {
    endpoint.failing = false;
    endpoint.observed_at = now;
    endpoint.report_trust = std::min(1.0, endpoint.report_trust + trust_regained);
    if (endpoint.latency_ms == 0) {
        endpoint.latency_ms = latency_ms;
        return;
    }
    endpoint.latency_ms += latency_share_of_newest * (latency_ms - endpoint.latency_ms);
}

void note_report(endpoint_state& endpoint, const endpoint_report& report, common::time_point now) {
    if (endpoint.leaving && !report.draining) {
        endpoint.cold_since = now;
    }
    if (endpoint.leaving != report.draining) {
        endpoint.spread_at = {};
    }
    endpoint.leaving = report.draining;
    endpoint.failing = false;
    endpoint.reported_load = std::clamp(report.load, 0.0, 1.0);
    endpoint.reported_at = now;
    endpoint.observed_at = now;
}

void note_shed(endpoint_state& endpoint, common::time_point now) {
    if (endpoint.reported_load < free_load) {
        endpoint.report_trust *= trust_after_contradiction;
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
