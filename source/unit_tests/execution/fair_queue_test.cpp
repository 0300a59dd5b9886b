#include <algorithm>
#include <functional>
#include <map>
#include <queue>
#include <random>

#include <doctest/doctest.h>

#include "core/execution/fair_queue.h"

namespace lycheegap::execution {

namespace {

using catalog::work_class;
using common::milliseconds;
using common::time_point;

const time_point start{milliseconds(1'000'000)};
const queue_limits limits{50, 400, 8};

/// Requests to one service, on simulated time.
struct load {
    /// Requests served at the same time.
    int slots{12};
    /// Mean of the exponential service times.
    double service_ms{10};
    /// Requests per second of each team.
    std::map<std::string, double> rates;
    std::map<std::string, work_class> classes;
    double seconds{60};
    std::uint64_t seed{1};
};

struct team_result {
    /// Of the served requests, from arrival to completion.
    std::vector<double> latencies_ms;
    int refused{0};
    int arrived{0};
};

using results = std::map<std::string, team_result>;

struct arrival {
    time_point at;
    std::string team;
    double service_ms{0};
};

std::vector<arrival> generate_arrivals(const load& source) {
    std::vector<arrival> arrivals;
    for (const auto& [team, rate] : source.rates) {
        // A generator per team: the arrivals of one team do not depend on the load of the others.
        std::mt19937_64 random(source.seed + std::hash<std::string>()(team));
        std::exponential_distribution<double> interarrival_s(rate);
        std::exponential_distribution<double> service(1 / source.service_ms);
        for (double at = interarrival_s(random); at < source.seconds; at += interarrival_s(random)) {
            arrivals.push_back(
                {start + std::chrono::duration_cast<time_point::duration>(std::chrono::duration<double>(at)),
                 team, service(random)});
        }
    }
    std::sort(arrivals.begin(), arrivals.end(), [](const auto& a, const auto& b) { return a.at < b.at; });
    return arrivals;
}

/// Simulates a service behind the fair queue, or behind a FIFO queue.
class service_model {
public:
    service_model(const load& source, bool fair) : source_(source), fair_(fair) {
        queue_.limits = limits;
    }

    results run() {
        for (const auto& it : generate_arrivals(source_)) {
            complete_until(it.at);
            arrive(it);
        }
        complete_until(time_point::max());
        return std::move(results_);
    }

private:
    struct running {
        time_point completes_at;

        bool operator<(const running& other) const {
            return completes_at > other.completes_at;
        }
    };

    work_class class_of(const std::string& team) const {
        const auto it = source_.classes.find(team);
        return it == source_.classes.end() ? work_class::interactive : it->second;
    }

    void arrive(const arrival& it) {
        ++results_[it.team].arrived;
        const auto work = class_of(it.team);
        const auto queue_timeout = milliseconds(work == work_class::deferrable ? 10'000 : 2000);
        // With a single team the fair queue is a FIFO queue.
        const auto queue_team = fair_ ? it.team : std::string();
        const auto place =
            enter_queue(queue_, fair_ ? work : work_class::interactive, queue_team, it.at + queue_timeout);
        if (!place) {
            ++results_[it.team].refused;
            return;
        }
        waiting_[place->number] = it;
        serve(it.at);
    }

    void complete_until(time_point until) {
        while (!running_.empty() && running_.top().completes_at <= until) {
            const auto now = running_.top().completes_at;
            running_.pop();
            serve(now);
        }
    }

    void serve(time_point now) {
        while (running_.size() < static_cast<std::size_t>(source_.slots)) {
            const auto place = next_in_queue(queue_, now);
            if (!place) {
                return;
            }
            grant_place(queue_, *place);
            const auto it = waiting_.at(place->number);
            const auto completes_at = now + std::chrono::duration_cast<time_point::duration>(
                                                std::chrono::duration<double, std::milli>(it.service_ms));
            running_.push({completes_at});
            results_[it.team].latencies_ms.push_back(common::seconds_between(it.at, completes_at) * 1000);
        }
    }

    load source_;
    bool fair_;
    fair_queue queue_;
    std::map<std::uint64_t, arrival> waiting_;
    std::priority_queue<running> running_;
    results results_;
};

double p99(team_result result) {
    auto& all = result.latencies_ms;
    REQUIRE(!all.empty());
    std::sort(all.begin(), all.end());
    return all[all.size() * 99 / 100];
}

/// A team with a constant rate beside one with the given rate; the service handles 1200 requests per second.
load shared_load(double other_rate, std::uint64_t seed) {
    load it;
    it.rates = {{"quiet", 250}, {"noisy", other_rate}};
    it.seed = seed;
    return it;
}

} // namespace

TEST_SUITE_BEGIN("team_isolation");

TEST_CASE(
    "a team at five times its rate raises another team's p99 by less than 10%, in a FIFO queue by more") {
    for (std::uint64_t seed = 1; seed <= 5; ++seed) {
        const auto light_load = p99(service_model(shared_load(500, seed), true).run()["quiet"]);
        const auto heavy_load = p99(service_model(shared_load(2500, seed), true).run()["quiet"]);
        const auto fifo_light_load = p99(service_model(shared_load(500, seed), false).run()["quiet"]);
        const auto fifo_heavy_load = p99(service_model(shared_load(2500, seed), false).run()["quiet"]);
        MESSAGE("seed ", seed, ": p99 of the quiet team ", light_load,
                " ms, beside the noisy team at five times its rate ", heavy_load, " ms; in a FIFO queue ",
                fifo_light_load, " and ", fifo_heavy_load, " ms");
        CHECK(heavy_load < light_load * 1.1);
        CHECK(fifo_heavy_load > fifo_light_load * 1.1);
    }
}

TEST_CASE("interactive work goes first and deferrable work is not starved") {
    load it;
    it.rates = {{"wave", 1500}, {"archive", 100}};
    it.classes = {{"archive", work_class::deferrable}};
    auto served = service_model(it, true).run();
    MESSAGE("deferrable requests under overload: served ", served["archive"].latencies_ms.size(), " of ",
            served["archive"].arrived, ", p99 ", p99(served["archive"]), " ms");
    // Every eighth grant, 150 requests per second, is more than the 100 that arrive.
    CHECK(served["archive"].latencies_ms.size() + static_cast<std::size_t>(served["archive"].refused) >
          static_cast<std::size_t>(served["archive"].arrived) * 99 / 100);
    CHECK(served["archive"].refused == 0);

    it.rates = {{"wave", 800}, {"archive", 1500}};
    served = service_model(it, true).run();
    load alone = it;
    alone.rates.erase("archive");
    MESSAGE("interactive p99 beside deferrable overload ", p99(served["wave"]), " ms, alone ",
            p99(service_model(alone, true).run()["wave"]), " ms");
    CHECK(served["wave"].refused == 0);
}

TEST_CASE("queues are bounded per team and in total, and skip requests past their deadline") {
    fair_queue queue;
    queue.limits = {2, 3, 8};
    const auto late = start + milliseconds(10);
    CHECK(enter_queue(queue, work_class::once, "a", late));
    CHECK(enter_queue(queue, work_class::deferrable, "a", start + milliseconds(100)));
    CHECK_FALSE(enter_queue(queue, work_class::interactive, "a", late));
    CHECK(enter_queue(queue, work_class::interactive, "b", late));
    CHECK_FALSE(enter_queue(queue, work_class::interactive, "c", late));
    CHECK(next_in_queue(queue, start)->team == "a");
    const auto next = next_in_queue(queue, start + milliseconds(50));
    REQUIRE(next);
    CHECK(next->work == work_class::deferrable);
    leave_queue(queue, *next);
    CHECK(queue.length == 2);
    CHECK_FALSE(next_in_queue(queue, start + milliseconds(50)));
}

TEST_CASE("teams with waiting requests get equal shares") {
    fair_queue queue;
    queue.limits = {1000, 10'000, 8};
    const auto deadline = start + milliseconds(1000);
    for (int n = 0; n < 300; ++n) {
        enter_queue(queue, work_class::interactive, "large", deadline);
    }
    std::map<std::string, int> granted;
    for (int n = 0; n < 90; ++n) {
        if (n == 30) {
            for (int k = 0; k < 60; ++k) {
                enter_queue(queue, work_class::interactive, "late", deadline);
            }
        }
        const auto place = next_in_queue(queue, start);
        REQUIRE(place);
        grant_place(queue, *place);
        ++granted[place->team];
    }
    CHECK(granted["large"] == 60);
    CHECK(granted["late"] == 30);
}

TEST_SUITE_END();

} // namespace lycheegap::execution
