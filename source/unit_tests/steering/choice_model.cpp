#include "choice_model.h"

#include <algorithm>
#include <functional>
#include <queue>
#include <random>

#include "core/steering/endpoint_choice.h"

namespace lycheegap::steering {

namespace {

using common::time_point;

constexpr double end_ms = 30'000;
constexpr double warm_up_ms = 2000;
constexpr double report_interval_ms = 1000;
constexpr double cold_at_ms = 10'000;
constexpr double cold_length_ms = 5000;
constexpr double cold_factor = 4;
constexpr double drain_at_ms = 20'000;
constexpr double drain_limit_ms = 3000;
constexpr int attempt_limit = 4;
constexpr double retry_pause_ms = 5;
constexpr std::size_t misleading = 0;
constexpr std::size_t shedding = 1;
constexpr std::size_t cold = 2;
constexpr std::size_t draining = 3;

struct worker {
    std::size_t region{0};
    int running{0};
    double reported{0};
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
    std::function<void()> act;

    bool operator<(const event& other) const {
        return at_ms != other.at_ms ? at_ms > other.at_ms : number > other.number;
    }
};

struct model {
    choice_deployment set;
    choice_policy policy{choice_policy::ours};
    random_engine random;
    std::vector<worker> workers;
    std::vector<std::vector<endpoint_state>> views;
    std::vector<std::size_t> next;
    std::priority_queue<event> events;
    std::uint64_t events_made{0};
    double now_ms{0};
    choice_result result;
    std::vector<std::vector<double>> latencies;
};

time_point moment(const model& it) {
    return time_point(common::milliseconds(1'000'000)) +
           std::chrono::duration_cast<time_point::duration>(
               std::chrono::duration<double, std::milli>(it.now_ms));
}

void at(model& it, double delay_ms, std::function<void()> act) {
    it.events.push({it.now_ms + delay_ms, it.events_made++, std::move(act)});
}

double uniform(model& it) {
    return std::uniform_real_distribution<double>(0, 1)(it.random);
}

double exponential(model& it, double mean) {
    return std::exponential_distribution<double>(1 / mean)(it.random);
}

std::size_t region_of_host(const model& it, std::size_t host) {
    return host % static_cast<std::size_t>(it.set.regions);
}

double service_ms(model& it, std::size_t worker) {
    const double mean = exponential(it, it.set.mean_service_ms);
    const double age = it.now_ms - cold_at_ms;
    if (worker != cold || age < 0 || age > cold_length_ms) {
        return mean;
    }
    return mean * (1 + (cold_factor - 1) * (1 - age / cold_length_ms));
}

endpoint_report report_of(model& it, std::size_t n) {
    auto& from = it.workers[n];
    if (it.now_ms >= from.reported_at_ms + report_interval_ms) {
        from.reported_at_ms = it.now_ms;
        from.reported = n == misleading ? 0 : static_cast<double>(from.running) / it.set.slots;
    }
    return {from.reported, n == draining && it.now_ms >= drain_at_ms};
}

/// The usable endpoint with the least of a cost, of the own region when there is one.
template <typename Cost>
std::optional<std::size_t> least(model& it, const model_request& request, const Cost& cost) {
    const auto& view = it.views[request.host];
    std::optional<std::size_t> best;
    double best_cost = 0;
    for (std::size_t n = 0; n < view.size(); ++n) {
        if (!may_use(view[n], request.excluded, moment(it))) {
            continue;
        }
        constexpr double far = 1000;
        const bool near = it.workers[n].region == region_of_host(it, request.host);
        const double value = cost(n) + (near ? 0 : far);
        if (!best || value < best_cost) {
            best = n;
            best_cost = value;
        }
    }
    return best;
}

std::optional<std::size_t> choose(model& it, const model_request& request) {
    const auto& view = it.views[request.host];
    switch (it.policy) {
    case choice_policy::ours:
        return choose_endpoint(view, std::to_string(region_of_host(it, request.host)), request.excluded,
                               moment(it), it.random);
    case choice_policy::round_robin: {
        const auto from = ++it.next[request.host];
        return least(it, request, [&](std::size_t n) {
            return static_cast<double>((n + view.size() - from % view.size()) % view.size());
        });
    }
    case choice_policy::least_reported:
        return least(it, request, [&](std::size_t n) { return view[n].reported_load; });
    case choice_policy::central:
        return least(it, request, [&](std::size_t n) { return it.workers[n].running; });
    }
    return std::nullopt;
}

void start_attempt(model& it, model_request request);

void end_request(model& it, const model_request& request) {
    if (request.arrived_ms < warm_up_ms) {
        return;
    }
    ++it.result.answered;
    it.latencies[request.team].push_back(it.now_ms - request.arrived_ms);
}

void retry(model& it, const model_request& request) {
    if (request.attempts >= attempt_limit) {
        it.result.refused += request.arrived_ms >= warm_up_ms ? 1 : 0;
        return;
    }
    at(it, retry_pause_ms, [&it, request] { start_attempt(it, request); });
}

double one_way_ms(const model& it, const model_request& request, std::size_t n) {
    return it.workers[n].region == region_of_host(it, request.host) ? it.set.near_ms : it.set.far_ms;
}

void give_back(model& it, const model_request& request, std::size_t n, double sent_ms, bool shed,
               const endpoint_report& report) {
    auto& state = it.views[request.host][n];
    --state.in_flight;
    note_report(state, report, moment(it));
    if (shed) {
        note_shed(state, moment(it));
        auto again = request;
        again.excluded = state.address;
        retry(it, again);
        return;
    }
    note_latency(state, it.now_ms - sent_ms, moment(it));
    end_request(it, request);
}

void arrive_at_worker(model& it, const model_request& request, std::size_t n, double sent_ms) {
    const double back_ms = one_way_ms(it, request, n);
    auto& target = it.workers[n];
    const bool shed = target.running >= it.set.slots || (n == shedding && uniform(it) < 1.0 / 3);
    if (shed) {
        ++it.result.shed;
        const auto report = report_of(it, n);
        at(it, back_ms,
           [&it, request, n, sent_ms, report] { give_back(it, request, n, sent_ms, true, report); });
        return;
    }
    ++target.running;
    it.result.late_runs += n == draining && it.now_ms > drain_at_ms + drain_limit_ms ? 1 : 0;
    at(it, service_ms(it, n), [&it, request, n, sent_ms, back_ms] {
        --it.workers[n].running;
        const auto report = report_of(it, n);
        at(it, back_ms,
           [&it, request, n, sent_ms, report] { give_back(it, request, n, sent_ms, false, report); });
    });
}

void start_attempt(model& it, model_request request) {
    ++request.attempts;
    const auto chosen = choose(it, request);
    if (!chosen) {
        retry(it, request);
        return;
    }
    ++it.views[request.host][*chosen].in_flight;
    const double sent_ms = it.now_ms;
    at(it, one_way_ms(it, request, *chosen),
       [&it, request, n = *chosen, sent_ms] { arrive_at_worker(it, request, n, sent_ms); });
}

/// Team n sends twice as much as team n + 1.
std::size_t draw_team(model& it) {
    std::size_t team = 0;
    while (team + 1 < static_cast<std::size_t>(it.set.teams) && uniform(it) < 0.5) {
        ++team;
    }
    return team;
}

void next_arrival(model& it) {
    const double per_ms = it.set.load * it.set.endpoints * it.set.slots / it.set.mean_service_ms;
    at(it, exponential(it, 1 / per_ms), [&it] {
        model_request request;
        request.arrived_ms = it.now_ms;
        request.host = static_cast<std::size_t>(uniform(it) * it.set.hosts);
        request.team = draw_team(it);
        start_attempt(it, request);
        if (it.now_ms < end_ms) {
            next_arrival(it);
        }
    });
}

void prepare(model& it) {
    it.workers.resize(static_cast<std::size_t>(it.set.endpoints));
    it.next.resize(static_cast<std::size_t>(it.set.hosts));
    it.latencies.resize(static_cast<std::size_t>(it.set.teams));
    it.views.resize(static_cast<std::size_t>(it.set.hosts));
    for (std::size_t n = 0; n < it.workers.size(); ++n) {
        it.workers[n].region = n % static_cast<std::size_t>(it.set.regions);
    }
    for (auto& view : it.views) {
        for (std::size_t n = 0; n < it.workers.size(); ++n) {
            endpoint_state state;
            state.address = std::to_string(n);
            state.region = std::to_string(it.workers[n].region);
            state.slots = it.set.slots;
            view.push_back(state);
        }
    }
}

double quantile(std::vector<double> values, double part) {
    if (values.empty()) {
        return 0;
    }
    std::sort(values.begin(), values.end());
    return values[static_cast<std::size_t>(part * static_cast<double>(values.size() - 1))];
}

void fill_result(model& it) {
    std::vector<double> all;
    for (const auto& team : it.latencies) {
        all.insert(all.end(), team.begin(), team.end());
        it.result.worst_team_ms = std::max(it.result.worst_team_ms, quantile(team, 0.99));
    }
    it.result.p50_ms = quantile(all, 0.5);
    it.result.p99_ms = quantile(all, 0.99);
}

} // namespace

choice_result run_choice_model(const choice_deployment& deployment, choice_policy policy,
                               std::uint64_t seed) {
    model it;
    it.set = deployment;
    it.policy = policy;
    it.random.seed(seed);
    prepare(it);
    next_arrival(it);
    while (!it.events.empty()) {
        const auto next = it.events.top();
        it.events.pop();
        it.now_ms = next.at_ms;
        next.act();
    }
    fill_result(it);
    return it.result;
}

} // namespace lycheegap::steering
