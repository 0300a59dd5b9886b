#include <functional>
#include <random>

#include <doctest/doctest.h>

#include "core/traffic/rate_home.h"
#include "virtual_time.h"

// Simulates one team at ten times its rate over all hosts, in virtual time with messages between regions.
// Checks that its callers get as much as the limit allows, and that the rest is refused quickly.
namespace lycheegap::traffic {

namespace {

using common::milliseconds;

constexpr int host_count = 22;
constexpr int home_count = 3;
constexpr int round_trip_ms = 45; // between a host and a home
constexpr double rate = 146;
constexpr double burst = 10;
constexpr double load_factor = 10;
constexpr double duration_ms = 10'000;
const auto start = model_start;

struct outcome {
    int passed{0};
    int refused{0};
    /// Sum over all refused requests.
    double refusal_wait_ms{0};
    int loan_requests{0};
};

struct simulation : virtual_time {
    std::mt19937_64 random{5};
    std::vector<team_tokens> hosts{host_count};
    std::vector<home_bucket> homes{home_count};
    rate_limit whole_limit;
    /// Each request without a token asks all homes in turn, to compare with.
    bool baseline{false};
    outcome result;
};

/// A request for a loan that is on its way to a home.
struct loan_request {
    std::size_t host{0};
    token_decision decision;
    double asked_ms{0};
    std::size_t homes_asked{0};
};

void end_request(simulation& it, bool passed, double asked_ms) {
    it.result.passed += passed ? 1 : 0;
    it.result.refused += passed ? 0 : 1;
    it.result.refusal_wait_ms += passed ? 0 : it.now_ms - asked_ms;
}

void ask_next_home(simulation& it, loan_request request) {
    ++it.result.loan_requests;
    auto& home = it.homes[(request.host + request.decision.first_home + request.homes_asked) % home_count];
    const auto limit = lent_limit(it.whole_limit, host_count, home_count);
    ++request.homes_asked;
    it.events.emplace(it.now_ms + round_trip_ms / 2.0, [&it, request, &home, limit] {
        const token_loan lent{lend(home, limit, request.decision.wanted, it.now()),
                              until_token(home.bucket, limit)};
        it.events.emplace(it.now_ms + round_trip_ms / 2.0, [&it, request, lent] {
            if (lent.granted < 1 && request.decision.all_homes && request.homes_asked < home_count) {
                ask_next_home(it, request);
                return;
            }
            const auto asked_at = start + milliseconds(static_cast<int>(request.asked_ms));
            end_request(it, note_loan(it.hosts[request.host], request.decision, lent, asked_at, it.now()),
                        request.asked_ms);
        });
    });
}

void handle_request(simulation& it) {
    const auto host = std::uniform_int_distribution<std::size_t>(0, host_count - 1)(it.random);
    auto& tokens = it.hosts[host];
    if (it.baseline) {
        tokens.borrowing_paused_until = {};
        tokens.partial_loans = 0;
        tokens.pending_tokens = 1e9;
        tokens.token_use_rate = 1e9;
    }
    const auto decision =
        decide_token(tokens, own_limit(it.whole_limit, 1.0 / host_count, host_count), it.now());
    if (decision.step == token_step::ask) {
        ask_next_home(it, {host, decision, it.now_ms, 0});
        return;
    }
    end_request(it, decision.step == token_step::taken, it.now_ms);
}

outcome simulate(bool baseline) {
    simulation it;
    it.baseline = baseline;
    it.whole_limit = fleet_limit({"hot", 0, rate, burst, {}}, {milliseconds(5000), 0.1, 20});
    for (auto& home : it.homes) {
        note_home(home, true, start - milliseconds(5000));
    }
    for (auto& host : it.hosts) {
        host.own.at = start;
    }
    std::exponential_distribution<double> interval(rate * load_factor / 1000);
    for (double at = 0; at < duration_ms; at += interval(it.random)) {
        it.events.emplace(at, [&it] { handle_request(it); });
    }
    it.run_all();
    return it.result;
}

} // namespace

TEST_CASE("a team at ten times its rate gets its rate, and the rest is refused without a wait") {
    const auto result = simulate(false);
    const auto baseline = simulate(true);
    CAPTURE(result.passed);
    CAPTURE(result.refused);
    CAPTURE(result.loan_requests);
    CAPTURE(baseline.passed);
    CAPTURE(baseline.loan_requests);
    CHECK(result.passed >= 0.9 * rate * duration_ms / 1000);
    CHECK(result.passed >= 0.95 * baseline.passed);
    CHECK(result.refusal_wait_ms / result.refused < 5);
    CHECK(baseline.refusal_wait_ms / baseline.refused > 50);
    CHECK(result.loan_requests * 20 < baseline.loan_requests);
}

} // namespace lycheegap::traffic
