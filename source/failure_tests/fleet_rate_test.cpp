#include <algorithm>
#include <atomic>
#include <csignal>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

#include <doctest/doctest.h>

#include "fleet.h"

namespace lycheegap::failure_tests {

namespace {

using common::milliseconds;
using common::monotonic;
using common::time_point;

/// Requests per second.
constexpr double rate = 20;
/// Requests.
constexpr double burst = 10;
constexpr int callers_per_host = 3;

/// An admission as the caller sees it: it took place between these two times.
struct admission {
    time_point requested_at;
    time_point responded_at;
};

struct load_result {
    std::mutex mutex;
    std::vector<admission> admitted;
    std::atomic<int> refused{0};
};

void send_until(fleet& it, const std::string& address, time_point end, load_result& result) {
    while (monotonic::now() < end) {
        const auto requested_at = monotonic::now();
        const auto response =
            send_test_request(it, address, "GET", "/forecast/a", {{"x-team-key", "key-of-kite"}});
        if (!response || response->status != 200) {
            ++result.refused;
            // Refusals come at once; without the pause the callers would use all of the processor.
            std::this_thread::sleep_for(milliseconds(5));
            continue;
        }
        const std::lock_guard guard(result.mutex);
        result.admitted.push_back({requested_at, monotonic::now()});
    }
}

/// Sends requests to all hosts for `duration`, far above the team's rate, and runs `fault` meanwhile.
void send_to_all_hosts(fleet& it, milliseconds duration, load_result& result,
                       const std::function<void()>& fault) {
    const auto end = monotonic::now() + duration;
    std::vector<std::thread> callers;
    for (const auto& host : it.hosts) {
        for (int n = 0; n < callers_per_host; ++n) {
            callers.emplace_back([&it, &result, end, address = host.request_address] {
                send_until(it, address, end, result);
            });
        }
    }
    fault();
    for (auto& caller : callers) {
        caller.join();
    }
}

/// Maximum, over all windows of length t, of the admissions that certainly lie in the window minus
/// burst + rate x t. Positive when the limit was exceeded.
double max_excess(const std::vector<admission>& admitted) {
    double excess = -burst;
    for (const auto& first : admitted) {
        std::vector<time_point> ends;
        for (const auto& it : admitted) {
            if (it.requested_at >= first.requested_at) {
                ends.push_back(it.responded_at);
            }
        }
        std::sort(ends.begin(), ends.end());
        for (std::size_t n = 0; n < ends.size(); ++n) {
            const double seconds = common::seconds_between(first.requested_at, ends[n]);
            excess = std::max(excess, static_cast<double>(n + 1) - burst - rate * seconds);
        }
    }
    return excess;
}

/// Index of the team's home, the host that keeps its tokens and lends them to the others; 0 when the dump
/// names none.
std::size_t find_home_of_kite(fleet& it) {
    const auto dump = fetch_dump(it, it.hosts.back());
    const auto match_start = dump.find("\"name\": \"kite\",\"home\": \"host-");
    if (match_start == std::string::npos) {
        return 0;
    }
    return static_cast<std::size_t>(dump[match_start + 29] - '1');
}

bool is_served(fleet& it, const host_process& host) {
    const auto response =
        send_test_request(it, host.request_address, "GET", "/forecast/a", {{"x-team-key", "key-of-kite"}});
    return response && response->status == 200;
}

std::unique_ptr<fleet> start_fleet_with_team(bool use_link_stand_in) {
    fleet_options options;
    options.use_link_stand_in = use_link_stand_in;
    options.extra_settings = "[authority]\nlength = 1500\n";
    auto it = start_fleet(options);
    if (!it || !create_teams(*it, {"kite"}, rate, burst)) {
        return nullptr;
    }
    const bool served = wait_until(milliseconds(15'000), [&] { return is_served(*it, it->hosts[0]); });
    return served ? std::move(it) : nullptr;
}

void check_rate(const load_result& result, double min_admitted) {
    const double excess = max_excess(result.admitted);
    MESSAGE(result.admitted.size() << " admitted, " << result.refused
                                   << " refused, maximum above burst + rate x t: " << excess);
    CHECK(excess <= 0);
    CHECK(static_cast<double>(result.admitted.size()) >= min_admitted);
}

} // namespace

TEST_SUITE("fleet_rate") {
    TEST_CASE("three hosts together limit a team to its rate and burst") {
        const auto it = start_fleet_with_team(false);
        REQUIRE(it);
        load_result result;
        send_to_all_hosts(*it, milliseconds(3000), result, [] {});
        check_rate(result, rate * 3 * 0.8);
    }

    TEST_CASE("the rate holds when the home is frozen for longer than its authority lease and resumes") {
        const auto it = start_fleet_with_team(false);
        REQUIRE(it);
        const auto home = find_home_of_kite(*it);
        load_result result;
        send_to_all_hosts(*it, milliseconds(8000), result, [&] {
            std::this_thread::sleep_for(milliseconds(500));
            send_signal(it->hosts[home].process, SIGSTOP);
            std::this_thread::sleep_for(milliseconds(3500));
            send_signal(it->hosts[home].process, SIGCONT);
        });
        check_rate(result, rate);
    }

    TEST_CASE("the rate holds when the home is killed, and another home takes over") {
        const auto it = start_fleet_with_team(false);
        REQUIRE(it);
        const auto home = find_home_of_kite(*it);
        const auto other = (home + 1) % it->hosts.size();
        load_result result;
        send_to_all_hosts(*it, milliseconds(4000), result, [&] {
            std::this_thread::sleep_for(milliseconds(500));
            kill_child(it->hosts[home].process);
        });
        check_rate(result, rate * 0.3);
        CHECK(wait_until(milliseconds(20'000), [&] { return is_served(*it, it->hosts[other]); }));
    }

    TEST_CASE("the rate holds while the home is cut off from the other hosts") {
        const auto it = start_fleet_with_team(true);
        REQUIRE(it);
        const auto home = find_home_of_kite(*it);
        load_result result;
        send_to_all_hosts(*it, milliseconds(6000), result, [&] {
            std::this_thread::sleep_for(milliseconds(500));
            isolate_host(*it, home, true);
            std::this_thread::sleep_for(milliseconds(3000));
            isolate_host(*it, home, false);
        });
        check_rate(result, rate);
    }
}

} // namespace lycheegap::failure_tests
