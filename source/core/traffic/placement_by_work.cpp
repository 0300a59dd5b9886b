#include "placement_by_work.h"

#include <algorithm>
#include <array>
#include <limits>
#include <utility>

#include "core/common/digest.h"
#include "remaining_work.h"

namespace lycheegap::traffic {

namespace {

// Other regions are considered when the cost in the target region is more than this fraction of the target
// latency, unless the first endpoint for the object has the request wait for less than the second one.
constexpr double home_answer_fraction = 0.8;
constexpr double home_wait_fraction = 0.25;
// Fraction of the target latency by which another region must be better: bytes between regions are costly.
constexpr double crossing_fraction = 0.1;
// Round trip in ms assumed between regions before it is measured.
constexpr double default_crossing_ms = 60;
// Latest start as a fraction of the target latency, where the work alone takes longer than the rest of it.
constexpr double min_start_fraction = 0.5;
// An endpoint is avoided after this many consecutive failures; before, each costs a fraction of the target
// latency. One that turns part of its requests away still answers the others from its cache.
constexpr int max_doubtful_failures = 2;
constexpr double failure_fraction = 0.25;
constexpr common::milliseconds doubtful_silence{800};
// Reports older than this do not tell about the load of a region.
constexpr common::milliseconds load_validity{2000};
// Work takes longer at an endpoint that is cold.
constexpr double cold_run_factor = 1.5;
// Range in ms of the term that breaks ties. It differs by host, so that hosts with the same view spread.
constexpr double tie_range_ms = 4;
// An uncached run delays others by its extra work times utilization² / (1 - utilization), up to this factor.
constexpr double max_extra_factor = 2;
constexpr double max_utilization = 0.9;
// Requests of one host at an endpoint: its part of the slots if this many hosts use the endpoint at a time,
// but at least the minimum. Further ones count as waiting.
constexpr double hosts_per_endpoint = 4;
constexpr double min_own_requests = 4;

/// Mixes a 64-bit value (finalizer of SplitMix64).
std::uint64_t mix(std::uint64_t value) {
    value ^= value >> 30U;
    value *= 0xbf58476d1ce4e5b9ULL;
    value ^= value >> 27U;
    value *= 0x94d049bb133111ebULL;
    return value ^ (value >> 31U);
}

/// What is the same for all endpoints.
struct placement_context {
    const endpoint_set* set{nullptr};
    const placement_request* request{nullptr};
    common::time_point now;
    work_forecast forecast;
    /// Hash of the object; 0 if there is none.
    std::uint64_t object{0};
    /// Differs between hosts and requests.
    std::uint64_t tie_seed{0};
    /// This host's part of an endpoint's slots.
    double slot_share{1};
    bool tests_domains{false};
};

/// An endpoint as a choice for the request; times in ms from now.
struct choice {
    endpoint_state* endpoint{nullptr};
    const endpoint_ptr* owner{nullptr};
    bool avoided{false};
    std::size_t rank{ranked_endpoints};
    /// Time that work takes at the endpoint relative to the usual time.
    double pace{1};
    double wait_ms{0};
    double run_ms{0};
    double round_trip_ms{0};
    /// Decides among the choices: time until the answer, plus what the request costs others.
    double cost_ms{std::numeric_limits<double>::infinity()};
};

/// An endpoint with a high rank for the object.
struct ranked_endpoint {
    std::uint64_t score{0};
    choice option;
};

bool is_better(const choice& a, const choice& b) {
    return std::pair(a.avoided, a.cost_ms) < std::pair(b.avoided, b.cost_ms);
}

/// Delay in ms that an uncached run at this rank causes to other requests of the group.
double extra_cost_ms(const placement_context& it, const group_load& group, std::size_t rank) {
    const double utilization = std::min(group.utilization, max_utilization);
    const double factor = std::min(max_extra_factor, utilization * utilization / (1 - utilization));
    return (1 - it.forecast.cached_probability[rank]) * (it.forecast.uncached_ms - it.forecast.cached_ms) *
           factor;
}

/// Time and cost of a request at each rank, for an endpoint of usual speed.
struct rank_costs {
    std::array<double, ranked_endpoints + 1> run_ms{};
    std::array<double, ranked_endpoints + 1> extra_ms{};
};

rank_costs costs_by_rank(const placement_context& it, const group_load& group) {
    rank_costs costs;
    for (std::size_t rank = 0; rank <= ranked_endpoints; ++rank) {
        costs.run_ms[rank] = mean_ms(work_at_rank(it.forecast, rank));
        costs.extra_ms[rank] = extra_cost_ms(it, group, rank);
    }
    return costs;
}

choice at_rank(choice it, const rank_costs& costs, std::size_t rank) {
    it.rank = rank;
    it.run_ms = costs.run_ms[rank] * it.pace;
    it.cost_ms += it.run_ms + costs.extra_ms[rank];
    return it;
}

/// Whether the endpoint can be selected now.
bool is_usable(const placement_context& it, endpoint_state& endpoint) {
    const auto& request = *it.request;
    if (is_resting(endpoint, it.now) || !has_fleet_room(endpoint, request, it.now)) {
        return false;
    }
    const auto& tried = request.tried;
    return tried.empty() || std::find(tried.begin(), tried.end(), endpoint.entry.id) == tried.end();
}

bool is_leaving(const placement_context& it, const endpoint_state& endpoint) {
    return endpoint.entry.leaving || endpoint.wishes.leaving ||
           (it.tests_domains && it.set->vacated_domains.contains(endpoint.entry.domain));
}

bool is_doubtful(const placement_context& it, const endpoint_state& endpoint) {
    return endpoint.avoided_until > it.now && endpoint.consecutive_failures <= max_doubtful_failures &&
           (!endpoint.silent_since || it.now - *endpoint.silent_since <= doubtful_silence);
}

double target_ms(const placement_request& request) {
    return static_cast<double>(request.target_latency.count());
}

/// Wait and avoidance of an endpoint; the cost has no work yet.
choice make_choice(const placement_context& it, const endpoint_ptr& owner) {
    auto& endpoint = *owner;
    choice made;
    made.pace = pace_of(endpoint, it.now) * (is_cold(endpoint, it.now) ? cold_run_factor : 1);
    made.endpoint = &endpoint;
    made.owner = &owner;
    const bool doubtful = is_doubtful(it, endpoint);
    made.avoided = !doubtful && is_avoided(endpoint, *it.request, it.now);
    made.wait_ms = expected_wait_ms(endpoint, it.forecast.cached_ms, it.now) * made.pace;
    const double own_limit = std::max(min_own_requests, slots_of(endpoint) * it.slot_share);
    const double excess = static_cast<double>(endpoint.work.own.size()) + 1 - own_limit;
    if (excess > 0) {
        made.wait_ms += excess * it.forecast.cached_ms * made.pace;
    }
    const auto tie = static_cast<double>(mix(endpoint.hash ^ it.tie_seed) >> 40U) / (1U << 24U);
    made.cost_ms = made.wait_ms + tie * tie_range_ms;
    if (doubtful) {
        made.cost_ms += endpoint.consecutive_failures * failure_fraction * target_ms(*it.request);
    }
    return made;
}

/// Keeps the endpoints with the highest scores, in descending order.
void keep_ranked(std::array<ranked_endpoint, ranked_endpoints>& top, const ranked_endpoint& added) {
    if (added.score <= top.back().score) {
        return;
    }
    auto at = ranked_endpoints - 1;
    for (; at > 0 && top[at - 1].score < added.score; --at) {
        top[at] = top[at - 1];
    }
    top[at] = added;
}

void keep_better(choice& best, const choice& other) {
    if (other.endpoint != nullptr && is_better(other, best)) {
        best = other;
    }
}

/// The best choice among the endpoints of a group; without an endpoint if none can be selected.
choice best_in_group(const placement_context& it, const endpoint_group& group) {
    const auto costs = costs_by_rank(it, *group.load);
    std::array<ranked_endpoint, ranked_endpoints> top;
    choice best;
    for (const auto& owner : group.endpoints) {
        if (is_leaving(it, *owner)) {
            continue;
        }
        ranked_endpoint ranked;
        if (is_usable(it, *owner)) {
            ranked.option = make_choice(it, owner);
            keep_better(best, at_rank(ranked.option, costs, ranked_endpoints));
        }
        // An endpoint that cannot be selected now keeps its rank, so that the objects of others stay.
        if (it.object != 0) {
            ranked.score = mix(owner->hash ^ it.object) | 1U;
            keep_ranked(top, ranked);
        }
    }
    for (std::size_t rank = 0; rank < top.size(); ++rank) {
        if (top[rank].option.endpoint != nullptr) {
            keep_better(best, at_rank(top[rank].option, costs, rank));
        }
    }
    return best;
}

bool is_allowed(const placement_request& request, std::string_view region) {
    return request.regions.empty() ||
           std::find(request.regions.begin(), request.regions.end(), region) != request.regions.end();
}

/// Whether a choice in the target region is taken without a look at other regions.
bool serves_at_once(const placement_context& it, const choice& found) {
    const double target = target_ms(*it.request);
    return found.endpoint != nullptr && !found.avoided &&
           (found.cost_ms <= target * home_answer_fraction ||
            (found.rank == 0 &&
             found.wait_ms <= std::max(target * home_wait_fraction, default_crossing_ms)) ||
            (it.object == 0 && found.wait_ms <= target * home_answer_fraction));
}

/// Whether the request would begin early enough to be of use.
bool begins_in_time(const placement_context& it, const choice& found) {
    const auto& request = *it.request;
    const double start_ms = found.wait_ms + found.round_trip_ms;
    const double left_ms = common::seconds_between(it.now, request.response_deadline) * 1000;
    if (start_ms + found.run_ms > left_ms) {
        return false;
    }
    const double target = target_ms(request);
    return target <= 0 || start_ms <= std::max(target - found.run_ms, target * min_start_fraction);
}

/// Whether a slot is expected to be free.
bool has_free_slot(const placement_context& it, const choice& found) {
    const auto& endpoint = *found.endpoint;
    const double requests =
        static_cast<double>(endpoint.work.own.size()) + external_requests(endpoint, it.now);
    return !found.avoided && requests + 1 <= slots_of(endpoint);
}

/// Estimates the load of a group that no recent report tells about, from the load of the target region: as if
/// each region had the same traffic.
void assume_load(const endpoint_group& home, const endpoint_group& other, common::time_point now) {
    if (now - other.load->reported_at < load_validity || other.endpoints.empty()) {
        return;
    }
    const double ratio =
        static_cast<double>(home.endpoints.size()) / static_cast<double>(other.endpoints.size());
    other.load->external = home.load->external * ratio;
    other.load->utilization = home.load->utilization * ratio;
}

choice best_choice(const placement_context& it, std::span<const endpoint_group> groups) {
    const auto& request = *it.request;
    const auto target = request.target_region.empty() ? request.region : request.target_region;
    choice best;
    const auto home = std::find_if(groups.begin(), groups.end(),
                                   [&](const endpoint_group& group) { return group.region == target; });
    if (home != groups.end() && is_allowed(request, home->region)) {
        best = best_in_group(it, *home);
        if (serves_at_once(it, best)) {
            return best;
        }
    }
    for (const auto& group : groups) {
        if (group.region == target || !is_allowed(request, group.region)) {
            continue;
        }
        if (home != groups.end()) {
            assume_load(*home, group, it.now);
        }
        auto other = best_in_group(it, group);
        const double measured = group.load->round_trip_ms;
        other.round_trip_ms = measured < 0 ? default_crossing_ms : measured;
        other.cost_ms += other.round_trip_ms + target_ms(request) * crossing_fraction;
        keep_better(best, other);
    }
    return best;
}

placement_context make_context(const endpoint_set& set, work_costs& costs, const placement_request& request,
                               common::time_point now) {
    placement_context made;
    made.set = &set;
    made.request = &request;
    made.now = now;
    made.forecast = forecast_work(costs, {.service = request.service,
                                          .route = request.route,
                                          .object_key = request.object_key,
                                          .body_bytes = request.body_bytes,
                                          .target_latency = request.target_latency});
    made.object = request.object_key.empty() ? 0 : common::stable_hash(request.object_key) | 1U;
    made.tie_seed = mix(common::stable_hash(request.knowledge.host) + costs.uses);
    made.tests_domains = !set.vacated_domains.empty();
    const auto* fleet = request.knowledge.fleet;
    const double hosts = fleet == nullptr ? 1 : std::max<double>(1, static_cast<double>(fleet->names.size()));
    made.slot_share = std::min(1.0, hosts_per_endpoint / hosts);
    return made;
}

} // namespace

placement place_by_work(endpoint_set& set, work_costs& costs, const placement_request& request,
                        common::time_point now) {
    placement made;
    made.expected_start = now;
    made.expected_end = now;
    made.rule = placement_rule::by_work;
    const auto groups = set.groups.find(request.service);
    if (groups == set.groups.end()) {
        return made;
    }
    const auto context = make_context(set, costs, request, now);
    const auto found = best_choice(context, groups->second);
    if (found.endpoint == nullptr || !begins_in_time(context, found) ||
        (request.needs_free_slot && !has_free_slot(context, found))) {
        return made;
    }
    const auto after = [&](double ms) {
        return now + std::chrono::duration_cast<common::time_point::duration>(
                         std::chrono::duration<double, std::milli>(ms));
    };
    made.endpoint = *found.owner;
    made.expected_start = after(found.wait_ms + found.round_trip_ms / 2);
    made.expected_end = after(found.wait_ms + found.run_ms + found.round_trip_ms);
    made.rank = found.rank;
    made.work = work_at_rank(context.forecast, found.rank);
    count_placement(*found.endpoint, request, now);
    return made;
}

} // namespace lycheegap::traffic
