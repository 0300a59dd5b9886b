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

/// A load on one service on virtual time.
struct load {
    int slots{12};
    double service_ms{10};
    /// Requests a second of each team.
    std::map<std::string, double> rates;
    std::map<std::string, work_class> classes;
    double seconds{60};
    std::uint64_t seed{1};
};

struct team_result {
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

std::vector<arrival> plan(const load& source) {
    std::vector<arrival> arrivals;
    for (const auto& [team, rate] : source.rates) {
        // Each team draws its own numbers, so that the others' load does not change it.
        std::mt19937_64 random(source.seed + std::hash<std::string>()(team));
        std::exponential_distribution<double> gap_s(rate);
        std::exponential_distribution<double> service(1 / source.service_ms);
        for (double at = gap_s(random); at < source.seconds; at += gap_s(random)) {
            arrivals.push_back(
                {start + std::chrono::duration_cast<time_point::duration>(std::chrono::duration<double>(at)),
                 team, service(random)});
        }
    }
    std::sort(arrivals.begin(), arrivals.end(), [](const auto& a, const auto& b) { return a.at < b.at; });
    return arrivals;
}

/// Serves by the fair queue, or in plain order of arrival.
class service_model {
public:
    service_model(const load& source, bool fair) : source_(source), fair_(fair) {
        queue_.limits = limits;
    }

    results run() {
        for (const auto& it : plan(source_)) {
            finish_until(it.at);
            arrive(it);
        }
        finish_until(time_point::max());
        return std::move(results_);
    }

private:
    struct running {
        time_point ends_at;

        bool operator<(const running& other) const {
            return ends_at > other.ends_at;
        }
    };

    work_class class_of(const std::string& team) const {
        const auto it = source_.classes.find(team);
        return it == source_.classes.end() ? work_class::interactive : it->second;
    }

    void arrive(const arrival& it) {
        ++results_[it.team].arrived;
        const auto work = class_of(it.team);
        const auto patience = milliseconds(work == work_class::deferrable ? 10'000 : 2000);
        // Plain order of arrival is one line for all teams.
        const auto line = fair_ ? it.team : std::string();
        const auto place =
            enter_queue(queue_, fair_ ? work : work_class::interactive, line, it.at + patience);
        if (!place) {
            ++results_[it.team].refused;
            return;
        }
        waiting_[place->number] = it;
        serve(it.at);
    }

    void finish_until(time_point until) {
        while (!running_.empty() && running_.top().ends_at <= until) {
            const auto now = running_.top().ends_at;
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
            const auto ends_at = now + std::chrono::duration_cast<time_point::duration>(
                                           std::chrono::duration<double, std::milli>(it.service_ms));
            running_.push({ends_at});
            results_[it.team].latencies_ms.push_back(common::seconds_between(it.at, ends_at) * 1000);
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

/// A quiet team beside a noisy one; the service does 1200 requests a second.
load shared_load(double noisy_rate, std::uint64_t seed) {
    load it;
    it.rates = {{"quiet", 250}, {"noisy", noisy_rate}};
    it.seed = seed;
    return it;
}

} // namespace

TEST_SUITE_BEGIN("team_isolation");

TEST_CASE("a team at five times its rate moves another team's p99 by under 10%; in plain order it does not") {
    for (std::uint64_t seed = 1; seed <= 5; ++seed) {
        const auto calm = p99(service_model(shared_load(500, seed), true).run()["quiet"]);
        const auto noisy = p99(service_model(shared_load(2500, seed), true).run()["quiet"]);
        const auto plain_calm = p99(service_model(shared_load(500, seed), false).run()["quiet"]);
        const auto plain_noisy = p99(service_model(shared_load(2500, seed), false).run()["quiet"]);
        MESSAGE("seed ", seed, ": p99 of the quiet team ", calm, " ms, beside the noisy one ", noisy,
                " ms; in plain order ", plain_calm, " and ", plain_noisy, " ms");
        CHECK(noisy < calm * 1.1);
        CHECK(plain_noisy > plain_calm * 1.1);
    }
}

TEST_CASE("interactive work goes first and deferrable work is not starved") {
    load it;
    it.rates = {{"wave", 1500}, {"archive", 100}};
    it.classes = {{"archive", work_class::deferrable}};
    auto ends = service_model(it, true).run();
    MESSAGE("deferrable under overload: served ", ends["archive"].latencies_ms.size(), " of ",
            ends["archive"].arrived, ", p99 ", p99(ends["archive"]), " ms");
    // Its share is an eighth of 1200 a second.
    CHECK(ends["archive"].latencies_ms.size() + static_cast<std::size_t>(ends["archive"].refused) >
          static_cast<std::size_t>(ends["archive"].arrived) * 99 / 100);
    CHECK(ends["archive"].refused == 0);

    it.rates = {{"wave", 800}, {"archive", 1500}};
    ends = service_model(it, true).run();
    load alone = it;
    alone.rates.erase("archive");
    MESSAGE("interactive p99 beside deferrable overload ", p99(ends["wave"]), " ms, alone ",
            p99(service_model(alone, true).run()["wave"]), " ms");
    CHECK(ends["wave"].refused == 0);
}

TEST_CASE("queues are bounded by team and in all, and pass over what is late") {
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

TEST_CASE("teams that always wait get equal turns") {
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
