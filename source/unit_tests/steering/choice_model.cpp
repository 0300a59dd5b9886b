#include "choice_model.h"

#include <algorithm>
#include <functional>
#include <queue>
#include <random>

#include "core/steering/endpoint_choice.h"

namespace lycheegap::steering {

namespace {

using common::time_point;

constexpr double last_arrival_ms = 30'000;
/// Requests that arrive before this time don't count in the result.
constexpr double unmeasured_ms = 2000;
constexpr double report_interval_ms = 1000;
constexpr double cold_start_ms = 10'000;
constexpr double cold_duration_ms = 5000;
/// Factor by which the cold worker is slower at first; falls linearly to 1.
constexpr double cold_slowdown = 4;
constexpr double drain_start_ms = 20'000;
/// Requests that start later than this after the drain began count as late.
constexpr double drain_limit_ms = 3000;
constexpr int max_attempts = 4;
constexpr double retry_delay_ms = 5;
// Numbers of the workers with a special behaviour.
constexpr std::size_t underreporting_worker = 0;
constexpr std::size_t shedding_worker = 1;
constexpr std::size_t cold_worker = 2;
constexpr std::size_t draining_worker = 3;

/// One endpoint as it really is, as opposed to what the hosts know of it.
struct worker {
    std::size_t region{0};
    int running{0};
    double reported_load{0};
    double reported_at_ms{-report_interval_ms};
};

struct model_request {
    double arrived_ms{0};
    std::size_t host{0};
    std::size_t team{0};
    int attempts{0};
    std::string excluded;
};

struct event {
    double at_ms{0};
    std::uint64_t number{0};
    std::function<void()> action;

    bool operator<(const event& other) const {
        return at_ms != other.at_ms ? at_ms > other.at_ms : number > other.number;
    }
};

struct fleet_state {
    choice_deployment deployment;
    choice_policy policy{choice_policy::two_choices};
    random_engine random;
    std::vector<worker> workers;
    /// Per host, what it knows of each endpoint.
    std::vector<std::vector<endpoint_state>> endpoint_states;
    std::vector<std::size_t> round_robin_next;
    std::priority_queue<event> events;
    std::uint64_t next_event_number{0};
    double now_ms{0};
    choice_result result;
    /// Per team, in ms.
    std::vector<std::vector<double>> latencies;
};

time_point virtual_time(const fleet_state& fleet) {
    return time_point(common::milliseconds(1'000'000)) +
           std::chrono::duration_cast<time_point::duration>(
               std::chrono::duration<double, std::milli>(fleet.now_ms));
}

void schedule_after(fleet_state& fleet, double delay_ms, std::function<void()> action) {
    fleet.events.push({fleet.now_ms + delay_ms, fleet.next_event_number++, std::move(action)});
}

double uniform(fleet_state& fleet) {
    return std::uniform_real_distribution<double>(0, 1)(fleet.random);
}

double exponential(fleet_state& fleet, double mean) {
    return std::exponential_distribution<double>(1 / mean)(fleet.random);
}

std::size_t region_of_host(const fleet_state& fleet, std::size_t host) {
    return host % static_cast<std::size_t>(fleet.deployment.regions);
}

double draw_service_ms(fleet_state& fleet, std::size_t worker_index) {
    const double warm_ms = exponential(fleet, fleet.deployment.mean_service_ms);
    const double age_ms = fleet.now_ms - cold_start_ms;
    if (worker_index != cold_worker || age_ms < 0 || age_ms > cold_duration_ms) {
        return warm_ms;
    }
    return warm_ms * (1 + (cold_slowdown - 1) * (1 - age_ms / cold_duration_ms));
}

/// Report of an endpoint, with a load that is refreshed once per report interval.
endpoint_report report_of(fleet_state& fleet, std::size_t n) {
    auto& reporter = fleet.workers[n];
    if (fleet.now_ms >= reporter.reported_at_ms + report_interval_ms) {
        reporter.reported_at_ms = fleet.now_ms;
        reporter.reported_load =
            n == underreporting_worker ? 0 : static_cast<double>(reporter.running) / fleet.deployment.slots;
    }
    return {reporter.reported_load, n == draining_worker && fleet.now_ms >= drain_start_ms};
}

/// The usable endpoint with the lowest cost; one of the host's own region if there is any.
template <typename Cost>
std::optional<std::size_t> choose_least_cost(fleet_state& fleet, const model_request& request,
                                             const Cost& cost) {
    const auto& view = fleet.endpoint_states[request.host];
    std::optional<std::size_t> best;
    double best_cost = 0;
    for (std::size_t n = 0; n < view.size(); ++n) {
        if (!may_use(view[n], request.excluded, virtual_time(fleet))) {
            continue;
        }
        constexpr double remote_penalty = 1000;
        const bool is_local = fleet.workers[n].region == region_of_host(fleet, request.host);
        const double value = cost(n) + (is_local ? 0 : remote_penalty);
        if (!best || value < best_cost) {
            best = n;
            best_cost = value;
        }
    }
    return best;
}

std::optional<std::size_t> choose(fleet_state& fleet, const model_request& request) {
    const auto& view = fleet.endpoint_states[request.host];
    switch (fleet.policy) {
    case choice_policy::two_choices:
        return choose_endpoint(view, std::to_string(region_of_host(fleet, request.host)), request.excluded,
                               virtual_time(fleet), fleet.random);
    case choice_policy::round_robin: {
        const auto from = ++fleet.round_robin_next[request.host];
        return choose_least_cost(fleet, request, [&](std::size_t n) {
            return static_cast<double>((n + view.size() - from % view.size()) % view.size());
        });
    }
    case choice_policy::least_reported:
        return choose_least_cost(fleet, request, [&](std::size_t n) { return view[n].reported_load; });
    case choice_policy::central:
        return choose_least_cost(fleet, request, [&](std::size_t n) { return fleet.workers[n].running; });
    }
    return std::nullopt;
}

void start_attempt(fleet_state& fleet, model_request request);

void record_answer(fleet_state& fleet, const model_request& request) {
    if (request.arrived_ms < unmeasured_ms) {
        return;
    }
    ++fleet.result.answered;
    fleet.latencies[request.team].push_back(fleet.now_ms - request.arrived_ms);
}

void retry(fleet_state& fleet, const model_request& request) {
    if (request.attempts >= max_attempts) {
        fleet.result.refused += request.arrived_ms >= unmeasured_ms ? 1 : 0;
        return;
    }
    schedule_after(fleet, retry_delay_ms, [&fleet, request] { start_attempt(fleet, request); });
}

double one_way_ms(const fleet_state& fleet, const model_request& request, std::size_t n) {
    return fleet.workers[n].region == region_of_host(fleet, request.host) ? fleet.deployment.intra_region_ms
                                                                          : fleet.deployment.inter_region_ms;
}

void on_response(fleet_state& fleet, const model_request& request, std::size_t n, double sent_ms, bool shed,
                 const endpoint_report& report) {
    auto& endpoint = fleet.endpoint_states[request.host][n];
    --endpoint.in_flight;
    note_report(endpoint, report, virtual_time(fleet));
    if (shed) {
        note_shed(endpoint, virtual_time(fleet));
        auto retried = request;
        retried.excluded = endpoint.address;
        retry(fleet, retried);
        return;
    }
    note_latency(endpoint, fleet.now_ms - sent_ms, virtual_time(fleet));
    record_answer(fleet, request);
}

void arrive_at_worker(fleet_state& fleet, const model_request& request, std::size_t n, double sent_ms) {
    const double back_ms = one_way_ms(fleet, request, n);
    auto& target = fleet.workers[n];
    const bool shed =
        target.running >= fleet.deployment.slots || (n == shedding_worker && uniform(fleet) < 1.0 / 3);
    if (shed) {
        ++fleet.result.shed;
        const auto report = report_of(fleet, n);
        schedule_after(fleet, back_ms, [&fleet, request, n, sent_ms, report] {
            on_response(fleet, request, n, sent_ms, true, report);
        });
        return;
    }
    ++target.running;
    fleet.result.late_runs += n == draining_worker && fleet.now_ms > drain_start_ms + drain_limit_ms ? 1 : 0;
    schedule_after(fleet, draw_service_ms(fleet, n), [&fleet, request, n, sent_ms, back_ms] {
        --fleet.workers[n].running;
        const auto report = report_of(fleet, n);
        schedule_after(fleet, back_ms, [&fleet, request, n, sent_ms, report] {
            on_response(fleet, request, n, sent_ms, false, report);
        });
    });
}

void start_attempt(fleet_state& fleet, model_request request) {
    ++request.attempts;
    const auto chosen = choose(fleet, request);
    if (!chosen) {
        retry(fleet, request);
        return;
    }
    ++fleet.endpoint_states[request.host][*chosen].in_flight;
    const double sent_ms = fleet.now_ms;
    schedule_after(fleet, one_way_ms(fleet, request, *chosen),
                   [&fleet, request, n = *chosen, sent_ms] { arrive_at_worker(fleet, request, n, sent_ms); });
}

/// Draws a team; team n is drawn twice as often as team n + 1.
std::size_t random_team(fleet_state& fleet) {
    std::size_t team = 0;
    while (team + 1 < static_cast<std::size_t>(fleet.deployment.teams) && uniform(fleet) < 0.5) {
        ++team;
    }
    return team;
}

void schedule_next_arrival(fleet_state& fleet) {
    const double per_ms = fleet.deployment.mean_load * fleet.deployment.endpoints * fleet.deployment.slots /
                          fleet.deployment.mean_service_ms;
    schedule_after(fleet, exponential(fleet, 1 / per_ms), [&fleet] {
        model_request request;
        request.arrived_ms = fleet.now_ms;
        request.host = static_cast<std::size_t>(uniform(fleet) * fleet.deployment.hosts);
        request.team = random_team(fleet);
        start_attempt(fleet, request);
        if (fleet.now_ms < last_arrival_ms) {
            schedule_next_arrival(fleet);
        }
    });
}

void prepare_workers(fleet_state& fleet) {
    fleet.workers.resize(static_cast<std::size_t>(fleet.deployment.endpoints));
    fleet.round_robin_next.resize(static_cast<std::size_t>(fleet.deployment.hosts));
    fleet.latencies.resize(static_cast<std::size_t>(fleet.deployment.teams));
    fleet.endpoint_states.resize(static_cast<std::size_t>(fleet.deployment.hosts));
    for (std::size_t n = 0; n < fleet.workers.size(); ++n) {
        fleet.workers[n].region = n % static_cast<std::size_t>(fleet.deployment.regions);
    }
    for (auto& view : fleet.endpoint_states) {
        for (std::size_t n = 0; n < fleet.workers.size(); ++n) {
            endpoint_state endpoint;
            endpoint.address = std::to_string(n);
            endpoint.region = std::to_string(fleet.workers[n].region);
            endpoint.slots = fleet.deployment.slots;
            view.push_back(endpoint);
        }
    }
}

double quantile(std::vector<double> values, double fraction) {
    if (values.empty()) {
        return 0;
    }
    std::sort(values.begin(), values.end());
    return values[static_cast<std::size_t>(fraction * static_cast<double>(values.size() - 1))];
}

void fill_result(fleet_state& fleet) {
    std::vector<double> all;
    for (const auto& team : fleet.latencies) {
        all.insert(all.end(), team.begin(), team.end());
        fleet.result.worst_team_ms = std::max(fleet.result.worst_team_ms, quantile(team, 0.99));
    }
    fleet.result.p50_ms = quantile(all, 0.5);
    fleet.result.p99_ms = quantile(all, 0.99);
}

} // namespace

choice_result run_choice_model(const choice_deployment& deployment, choice_policy policy,
                               std::uint64_t seed) {
    fleet_state fleet;
    fleet.deployment = deployment;
    fleet.policy = policy;
    fleet.random.seed(seed);
    prepare_workers(fleet);
    schedule_next_arrival(fleet);
    while (!fleet.events.empty()) {
        const auto next = fleet.events.top();
        fleet.events.pop();
        fleet.now_ms = next.at_ms;
        next.action();
    }
    fill_result(fleet);
    return fleet.result;
}

} // namespace lycheegap::steering
