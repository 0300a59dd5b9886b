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

constexpr double rate = 20;
constexpr double burst = 10;
constexpr int callers_per_host = 3;

/// Admissions as callers see them: each took place between the two moments.
struct admission {
    time_point asked_at;
    time_point answered_at;
};

struct tally {
    std::mutex mutex;
    std::vector<admission> admitted;
    std::atomic<int> refused{0};
};

void send_until(fleet& it, const std::string& address, time_point end, tally& result) {
    while (monotonic::now() < end) {
        const auto asked_at = monotonic::now();
        const auto answer = ask(it, address, "GET", "/forecast/a", {{"x-team-key", "key-of-kite"}});
        if (!answer || answer->status != 200) {
            ++result.refused;
            // A refusal comes at once; the callers are not to take the whole machine.
            std::this_thread::sleep_for(milliseconds(5));
            continue;
        }
        const std::lock_guard guard(result.mutex);
        result.admitted.push_back({asked_at, monotonic::now()});
    }
}

/// Sends through all hosts, much above the rate, while `fault` runs.
void send_through_all(fleet& it, milliseconds length, tally& result, const std::function<void()>& fault) {
    const auto end = monotonic::now() + length;
    std::vector<std::thread> callers;
    for (const auto& host : it.hosts) {
        for (int n = 0; n < callers_per_host; ++n) {
            callers.emplace_back(
                [&it, &result, end, address = host.request] { send_until(it, address, end, result); });
        }
    }
    fault();
    for (auto& caller : callers) {
        caller.join();
    }
}

/// Greatest number of admissions above burst + rate x t over all windows that certainly hold them.
double most_above(const std::vector<admission>& admitted) {
    double most = -burst;
    for (const auto& from : admitted) {
        std::vector<time_point> ends;
        for (const auto& it : admitted) {
            if (it.asked_at >= from.asked_at) {
                ends.push_back(it.answered_at);
            }
        }
        std::sort(ends.begin(), ends.end());
        for (std::size_t n = 0; n < ends.size(); ++n) {
            const double seconds = common::seconds_between(from.asked_at, ends[n]);
            most = std::max(most, static_cast<double>(n + 1) - burst - rate * seconds);
        }
    }
    return most;
}

std::size_t home_of_kite(fleet& it) {
    const auto dump = dump_of(it, it.hosts.back());
    const auto mark = dump.find("\"name\": \"kite\",\"home\": \"host-");
    if (mark == std::string::npos) {
        return 0;
    }
    return static_cast<std::size_t>(dump[mark + 29] - '1');
}

bool is_served(fleet& it, const host_process& host) {
    const auto answer = ask(it, host.request, "GET", "/forecast/a", {{"x-team-key", "key-of-kite"}});
    return answer && answer->status == 200;
}

std::unique_ptr<fleet> start_with_team(bool with_links) {
    fleet_options options;
    options.with_links = with_links;
    options.extra_settings = "[authority]\nlength = 1500\n";
    auto it = start_fleet(options);
    if (!it || !set_up_teams(*it, {"kite"}, rate, burst)) {
        return nullptr;
    }
    const bool served = wait_until(milliseconds(15'000), [&] { return is_served(*it, it->hosts[0]); });
    return served ? std::move(it) : nullptr;
}

void check_rate(const tally& result, double least_admitted) {
    const double above = most_above(result.admitted);
    MESSAGE(result.admitted.size() << " admitted, " << result.refused
                                   << " refused, most above burst + rate x t: " << above);
    CHECK(above <= 0);
    CHECK(static_cast<double>(result.admitted.size()) >= least_admitted);
}

} // namespace

TEST_SUITE("fleet_rate") {
    TEST_CASE("three hosts together keep a team to its rate and burst") {
        const auto it = start_with_team(false);
        REQUIRE(it);
        tally result;
        send_through_all(*it, milliseconds(3000), result, [] {});
        check_rate(result, rate * 3 * 0.8);
    }

    TEST_CASE("the rate holds while the home is stopped past its authority and goes on") {
        const auto it = start_with_team(false);
        REQUIRE(it);
        const auto home = home_of_kite(*it);
        tally result;
        send_through_all(*it, milliseconds(8000), result, [&] {
            std::this_thread::sleep_for(milliseconds(500));
            send_signal(it->hosts[home].process, SIGSTOP);
            std::this_thread::sleep_for(milliseconds(3500));
            send_signal(it->hosts[home].process, SIGCONT);
        });
        check_rate(result, rate);
    }

    TEST_CASE("the rate holds when the home is killed, and another home takes over") {
        const auto it = start_with_team(false);
        REQUIRE(it);
        const auto home = home_of_kite(*it);
        const auto other = (home + 1) % it->hosts.size();
        tally result;
        send_through_all(*it, milliseconds(4000), result, [&] {
            std::this_thread::sleep_for(milliseconds(500));
            kill_child(it->hosts[home].process);
        });
        check_rate(result, rate * 0.3);
        CHECK(wait_until(milliseconds(20'000), [&] { return is_served(*it, it->hosts[other]); }));
    }

    TEST_CASE("the rate holds while the home is cut off from the other hosts") {
        const auto it = start_with_team(true);
        REQUIRE(it);
        const auto home = home_of_kite(*it);
        tally result;
        send_through_all(*it, milliseconds(6000), result, [&] {
            std::this_thread::sleep_for(milliseconds(500));
            isolate_host(*it, home, true);
            std::this_thread::sleep_for(milliseconds(3000));
            isolate_host(*it, home, false);
        });
        check_rate(result, rate);
    }
}

} // namespace lycheegap::failure_tests
