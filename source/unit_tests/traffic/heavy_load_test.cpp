#include <functional>
#include <map>
#include <random>

#include <doctest/doctest.h>

#include "core/traffic/placement_by_load.h"
#include "virtual_time.h"

// Simulates the heaviest load stated by the users, in virtual time. Endpoints have little spare capacity and
// cache few objects, and a request for an object that is not cached takes more than three times as long.
// Checks how many callers are answered in time, compared with least-loaded placement that ignores the cached
// objects.
namespace lycheegap::traffic {

namespace {

using common::milliseconds;

constexpr int endpoint_count = 16;
constexpr int endpoint_slots = 9;
constexpr std::size_t max_queue_length = 27;
constexpr std::size_t cache_capacity = 40;
constexpr int host_count = 22;
constexpr int object_count = 160;
constexpr double requests_per_second = 1000;
constexpr double uncached_work_ms = 280;
constexpr double cached_work_factor = 0.3;
constexpr double target_ms = 230;
constexpr double deadline_ms = 1200;
const auto start = model_start;

/// A request on its way to or at an endpoint.
struct job {
    int host{0};
    int object{0};
    double sent_ms{0};
};

/// Actual state of an endpoint, as opposed to what the hosts know of it.
struct model_endpoint {
    int running{0};
    std::vector<job> queue;
    /// Cached objects, the least recently used first.
    std::vector<int> cached;
};

struct outcome {
    int requests{0};
    /// Answered within the target.
    int in_time{0};
    /// Answered after the target and within the deadline.
    int late{0};
    int refused{0};
    /// Answered after the deadline.
    int failed{0};
};

using placement_function =
    std::function<endpoint_ptr(endpoint_set&, const placement_request&, common::time_point)>;

/// Selects the least loaded endpoint regardless of the objects it has cached, and never refuses.
endpoint_ptr place_least_loaded(endpoint_set& set, const placement_request& wanted, common::time_point now) {
    auto any = wanted;
    any.object_key = {};
    if (auto found = place_by_load(set, any, now)) {
        return found;
    }
    return set.by_service["desk"].front();
}

struct simulation : virtual_time {
    std::mt19937_64 random;
    std::vector<endpoint_set> hosts;
    std::map<std::string, model_endpoint> endpoints;
    outcome result;
};

void start_jobs(simulation& it, const std::string& id);

/// Ends a job at an endpoint; its host receives the answer with a load report.
void finish_job(simulation& it, const std::string& id, const job& done) {
    auto& endpoint = it.endpoints[id];
    --endpoint.running;
    auto& known = *it.hosts[static_cast<std::size_t>(done.host)].by_id[id];
    note_report(known,
                {.running = endpoint.running,
                 .waiting = static_cast<int>(endpoint.queue.size()),
                 .slots = 0,
                 .pace = {}},
                it.now());
    --known.in_flight;
    const double elapsed = it.now_ms - done.sent_ms;
    it.result.in_time += elapsed <= target_ms ? 1 : 0;
    it.result.late += elapsed > target_ms && elapsed <= deadline_ms ? 1 : 0;
    it.result.failed += elapsed > deadline_ms ? 1 : 0;
    start_jobs(it, id);
}

/// Marks an object as used last; returns whether it was cached.
bool use_object(model_endpoint& endpoint, int object) {
    const auto found = std::find(endpoint.cached.begin(), endpoint.cached.end(), object);
    const bool is_cached = found != endpoint.cached.end();
    if (is_cached) {
        endpoint.cached.erase(found);
    }
    endpoint.cached.push_back(object);
    if (endpoint.cached.size() > cache_capacity) {
        endpoint.cached.erase(endpoint.cached.begin());
    }
    return is_cached;
}

/// Starts queued jobs on the endpoint's free slots.
void start_jobs(simulation& it, const std::string& id) {
    auto& endpoint = it.endpoints[id];
    while (endpoint.running < endpoint_slots && !endpoint.queue.empty()) {
        const auto next = endpoint.queue.front();
        endpoint.queue.erase(endpoint.queue.begin());
        ++endpoint.running;
        const double work = uncached_work_ms * (use_object(endpoint, next.object) ? cached_work_factor : 1.0);
        it.events.emplace(it.now_ms + work, [&it, id, next] { finish_job(it, id, next); });
    }
}

/// Sends a request for a random object through a random host.
void handle_request(simulation& it, const placement_function& place) {
    const job request{std::uniform_int_distribution(0, host_count - 1)(it.random),
                      std::uniform_int_distribution(0, object_count - 1)(it.random), it.now_ms};
    ++it.result.requests;
    const auto object = std::to_string(request.object);
    placement_request wanted;
    wanted.service = "desk";
    wanted.object_key = object;
    wanted.region = "coast";
    const auto chosen = place(it.hosts[static_cast<std::size_t>(request.host)], wanted, it.now());
    if (!chosen) {
        ++it.result.refused;
        return;
    }
    auto& endpoint = it.endpoints[chosen->entry.id];
    if (endpoint.queue.size() >= max_queue_length) {
        note_report(*chosen,
                    {.running = endpoint.running,
                     .waiting = static_cast<int>(endpoint.queue.size()),
                     .slots = 0,
                     .pace = {}},
                    it.now());
        ++it.result.refused;
        return;
    }
    ++chosen->in_flight;
    endpoint.queue.push_back(request);
    start_jobs(it, chosen->entry.id);
}

outcome simulate(std::uint64_t seed, double seconds, const placement_function& place) {
    simulation it;
    it.random.seed(seed);
    it.hosts.resize(host_count);
    for (int n = 0; n < endpoint_count; ++n) {
        endpoint_entry entry;
        entry.id = "e" + std::to_string(n);
        entry.service = "desk";
        entry.address = entry.id;
        entry.region = "coast";
        entry.slots = endpoint_slots;
        it.endpoints[entry.id];
        for (auto& host : it.hosts) {
            put_endpoint(host, entry, start);
        }
    }
    std::exponential_distribution<double> interval(requests_per_second / 1000);
    for (double at = 0; at < seconds * 1000; at += interval(it.random)) {
        it.events.emplace(at, [&it, &place] { handle_request(it, place); });
    }
    it.run_all();
    return it.result;
}

} // namespace

TEST_CASE("under the heaviest load most callers are served in time, unlike with least-loaded placement") {
    for (const std::uint64_t seed : {1, 2, 3}) {
        const auto result = simulate(seed, 20, place_by_load);
        const auto baseline = simulate(seed, 20, place_least_loaded);
        CAPTURE(seed);
        CAPTURE(result.in_time);
        CAPTURE(result.refused);
        CAPTURE(baseline.in_time);
        CHECK(result.requests == baseline.requests);
        CHECK(result.in_time > result.requests * 8 / 10);
        CHECK(result.in_time > baseline.in_time * 2);
        CHECK(result.refused < result.requests / 10);
        CHECK(result.failed == 0);
    }
}

} // namespace lycheegap::traffic
