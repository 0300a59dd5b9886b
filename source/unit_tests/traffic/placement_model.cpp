#include "placement_model.h"

#include <algorithm>
#include <cmath>
#include <deque>
#include <memory>
#include <random>

#include "core/common/digest.h"
#include "core/traffic/work_learning.h"
#include "virtual_time.h"

namespace lycheegap::traffic {

namespace {

constexpr double pace_interval_ms = 600;
constexpr double in_region_ms = 0.5;
constexpr double work_spread = 0.15;
constexpr double tail_share = 0.03;
constexpr double tail_factor = 7;

struct model_host {
    std::string name;
    std::string region;
    std::size_t region_number{0};
    endpoint_set set;
    work_costs costs;
    fleet_view fleet;
};

struct model_request {
    model_host* host{nullptr};
    std::string object;
    double arrived_ms{0};
    placement expected;
    std::uint64_t work_id{0};
};

using request_ptr = std::shared_ptr<model_request>;

struct model_endpoint {
    int number{0};
    std::string region;
    int running{0};
    std::deque<request_ptr> queue;
    /// The least recently used first.
    std::vector<std::string> cached;
};

struct simulation : virtual_time {
    model_options options;
    std::mt19937_64 random;
    std::vector<std::unique_ptr<model_host>> hosts;
    std::map<std::string, model_endpoint> endpoints;
    model_outcome result;

    bool counts(const model_request& it) const {
        return it.arrived_ms >= options.count_from_s * 1000;
    }

    double distance(const model_request& it, const model_endpoint& endpoint) const {
        return it.host->region == endpoint.region ? in_region_ms : options.one_way_ms;
    }
};

double pace_at(const simulation& it, const model_endpoint& endpoint, double ms) {
    if (endpoint.number == it.options.slow_endpoint) {
        return it.options.slow_factor;
    }
    const auto interval = static_cast<std::uint64_t>(ms / pace_interval_ms);
    const auto draw = common::stable_hash(std::to_string(endpoint.number), interval + it.options.seed * 1000);
    return static_cast<double>(draw % 1000) < it.options.slow_share * 1000 ? it.options.slow_factor : 1;
}

/// Time at which work that begins now ends, at the paces until then.
double end_of_work(const simulation& it, const model_endpoint& endpoint, double work_ms) {
    double at = it.now_ms;
    while (true) {
        const double pace = pace_at(it, endpoint, at);
        const double next = (std::floor(at / pace_interval_ms) + 1) * pace_interval_ms;
        if (at + work_ms * pace <= next) {
            return at + work_ms * pace;
        }
        work_ms -= (next - at) / pace;
        at = next;
    }
}

/// Marks an object as used last; returns whether it was cached.
bool use_object(const simulation& it, model_endpoint& endpoint, const std::string& object) {
    const auto found = std::find(endpoint.cached.begin(), endpoint.cached.end(), object);
    const bool is_cached = found != endpoint.cached.end();
    if (is_cached) {
        endpoint.cached.erase(found);
    }
    endpoint.cached.push_back(object);
    if (endpoint.cached.size() > it.options.cached_objects) {
        endpoint.cached.erase(endpoint.cached.begin());
    }
    return is_cached;
}

double draw_work(simulation& it, bool is_cached) {
    const double spread = std::max(0.3, std::normal_distribution<double>(1, work_spread)(it.random));
    const bool is_tail = std::bernoulli_distribution(tail_share)(it.random);
    return it.options.uncached_ms * (is_cached ? it.options.cached_factor : 1) * spread *
           (is_tail ? tail_factor : 1);
}

load_report report_of(const simulation& it, const model_endpoint& endpoint) {
    load_report report{endpoint.running, static_cast<int>(endpoint.queue.size()), it.options.slots, {}};
    if (it.options.reports_pace) {
        report.pace = pace_at(it, endpoint, it.now_ms);
    }
    return report;
}

/// The host learns from the answer, or from the refusal of the endpoint.
void receive_answer(simulation& it, const request_ptr& done, const load_report& report, bool was_run) {
    auto& host = *done->host;
    auto& endpoint = *done->expected.endpoint;
    const auto now = it.now();
    const answered_request answered{
        .kind = {.service = "desk",
                 .route = "read",
                 .object_key = done->object,
                 .target_latency = common::milliseconds(static_cast<int>(it.options.target_ms))},
        .expected = &done->expected,
        .work_id = done->work_id,
        .sent_at = it.now() - std::chrono::duration_cast<common::monotonic::duration>(
                                  std::chrono::duration<double, std::milli>(it.now_ms - done->arrived_ms)),
        .answered_at = now,
        .connect_ms = 0,
        .succeeded = was_run,
        .report = report,
        .report_before = endpoint.last_report,
        .report_before_at = endpoint.last_report_at};
    note_report(endpoint, report, now);
    note_answered(endpoint, host.costs, answered);
    note_ended(endpoint, true, now);
    if (!was_run || !it.counts(*done)) {
        return;
    }
    const double elapsed = it.now_ms - done->arrived_ms;
    it.result.in_time += elapsed <= it.options.target_ms ? 1 : 0;
    it.result.in_time_from[host.region_number] += elapsed <= it.options.target_ms ? 1 : 0;
    it.result.late += elapsed > it.options.target_ms && elapsed <= it.options.deadline_ms ? 1 : 0;
    it.result.error_ms +=
        std::abs(elapsed - common::seconds_between(answered.sent_at, done->expected.expected_end) * 1000);
    it.result.answer_ms += elapsed;
}

void start_jobs(simulation& it, model_endpoint& endpoint) {
    while (endpoint.running < it.options.slots && !endpoint.queue.empty()) {
        const auto next = endpoint.queue.front();
        endpoint.queue.pop_front();
        ++endpoint.running;
        const bool is_cached = use_object(it, endpoint, next->object);
        if (it.counts(*next)) {
            (is_cached ? it.result.cached : it.result.uncached) += 1;
            it.result.at_slow_endpoint += endpoint.number == it.options.slow_endpoint ? 1 : 0;
            it.result.crossed += next->host->region != endpoint.region ? 1 : 0;
        }
        it.events.emplace(end_of_work(it, endpoint, draw_work(it, is_cached)), [&it, &endpoint, next] {
            --endpoint.running;
            const auto report = report_of(it, endpoint);
            it.events.emplace(it.now_ms + it.distance(*next, endpoint),
                              [&it, next, report] { receive_answer(it, next, report, true); });
            start_jobs(it, endpoint);
        });
    }
}

void arrive_at_endpoint(simulation& it, model_endpoint& endpoint, const request_ptr& request) {
    if (endpoint.queue.size() >= it.options.queue_limit) {
        it.result.shed += it.counts(*request) ? 1 : 0;
        const auto report = report_of(it, endpoint);
        it.events.emplace(it.now_ms + it.distance(*request, endpoint),
                          [&it, request, report] { receive_answer(it, request, report, false); });
        return;
    }
    endpoint.queue.push_back(request);
    start_jobs(it, endpoint);
}

void place(simulation& it, model_host& host) {
    const auto request = std::make_shared<model_request>();
    request->host = &host;
    request->object = std::to_string(std::uniform_int_distribution(1, it.options.objects)(it.random));
    request->arrived_ms = it.now_ms;
    const auto now = it.now();
    const placement_request wanted{
        .service = "desk",
        .object_key = request->object,
        .region = host.region,
        .knowledge = {host.name, &host.fleet, now + common::milliseconds(1000)},
        .target_latency = common::milliseconds(static_cast<int>(it.options.target_ms)),
        .route = "read",
        .response_deadline = now + common::milliseconds(static_cast<int>(it.options.deadline_ms)),
        .rule = it.options.rule};
    request->expected = place_request(host.set, host.costs, wanted, now);
    it.result.requests += it.counts(*request) ? 1 : 0;
    it.result.requests_from[host.region_number] += it.counts(*request) ? 1 : 0;
    if (!request->expected.endpoint) {
        it.result.refused += it.counts(*request) ? 1 : 0;
        return;
    }
    auto& known = *request->expected.endpoint;
    note_sent(known, now);
    request->work_id = begin_work(known, request->expected.expected_start, request->expected.work);
    auto& endpoint = it.endpoints[known.entry.id];
    it.events.emplace(it.now_ms + it.distance(*request, endpoint),
                      [&it, &endpoint, request] { arrive_at_endpoint(it, endpoint, request); });
}

void add_endpoints(simulation& it) {
    int number = 0;
    for (std::size_t region = 0; region < it.options.regions.size(); ++region) {
        for (int n = 0; n < it.options.regions[region].endpoints; ++n, ++number) {
            endpoint_entry entry;
            entry.id = "e" + std::to_string(number);
            entry.service = "desk";
            entry.address = entry.id;
            entry.region = "region-" + std::to_string(region);
            entry.slots = it.options.slots;
            it.endpoints[entry.id] = {.number = number, .region = entry.region};
            for (const auto& host : it.hosts) {
                put_endpoint(host->set, entry, model_start);
                // The round trip is known from connections made before.
                note_round_trip(*host->set.by_id[entry.id],
                                2 * (host->region == entry.region ? in_region_ms : it.options.one_way_ms));
            }
        }
    }
}

void add_hosts(simulation& it) {
    fleet_view fleet;
    for (std::size_t region = 0; region < it.options.regions.size(); ++region) {
        for (int n = 0; n < it.options.hosts_per_region; ++n) {
            auto made = std::make_unique<model_host>();
            made->name = "host-" + std::to_string(it.hosts.size());
            made->region = "region-" + std::to_string(region);
            made->region_number = region;
            fleet.names.push_back(made->name);
            it.hosts.push_back(std::move(made));
        }
    }
    for (const auto& host : it.hosts) {
        host->fleet = fleet;
    }
}

void add_requests(simulation& it) {
    const auto per_region = static_cast<std::size_t>(it.options.hosts_per_region);
    for (std::size_t region = 0; region < it.options.regions.size(); ++region) {
        const double rate = it.options.regions[region].rate;
        double at = 0;
        while (at < it.options.seconds * 1000 && rate > 0) {
            const double factor = it.options.rate_factor ? it.options.rate_factor(at / 1000) : 1;
            at += std::exponential_distribution<double>(rate * factor / 1000)(it.random);
            const auto host = region * per_region +
                              std::uniform_int_distribution<std::size_t>(0, per_region - 1)(it.random);
            it.events.emplace(at, [&it, host] { place(it, *it.hosts[host]); });
        }
    }
}

} // namespace

model_outcome run_placement_model(const model_options& options) {
    simulation it;
    it.options = options;
    it.random.seed(options.seed);
    it.result.requests_from.resize(options.regions.size());
    it.result.in_time_from.resize(options.regions.size());
    add_hosts(it);
    add_endpoints(it);
    add_requests(it);
    it.run_all();
    return it.result;
}

} // namespace lycheegap::traffic
