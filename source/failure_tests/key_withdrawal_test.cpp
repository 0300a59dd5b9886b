#include <atomic>
#include <csignal>
#include <thread>

#include <doctest/doctest.h>
#include <fmt/format.h>

#include "core/common/digest.h"
#include "fleet.h"

namespace lycheegap::failure_tests {

namespace {

using common::milliseconds;
using common::monotonic;

/// The users' targets.
constexpr auto withdrawal_target = milliseconds(3000);
constexpr auto worst_withdrawal = milliseconds(11'000);
constexpr auto patience = milliseconds(20'000);

int status_at(fleet& it, const host_process& host) {
    const auto answer =
        ask(it, host.request, "GET", "/forecast/a", {{std::string(execution::key_header), "key-of-kite"}});
    return answer ? answer->status : 0;
}

std::unique_ptr<fleet> start_serving(bool with_links) {
    fleet_options options;
    options.with_links = with_links;
    auto it = start_fleet(options);
    REQUIRE(it);
    REQUIRE(set_up_teams(*it, {"kite"}, 100'000, 1000));
    for (const auto& host : it->hosts) {
        REQUIRE(wait_until(patience, [&] { return status_at(*it, host) == 200; }));
    }
    return it;
}

std::string withdrawal() {
    return R"({"key_team":"kite","withdraw_key_digest":")" + common::key_digest("key-of-kite") + "\"}";
}

/// Callers that keep their connections and send all the time, one for each host.
struct callers {
    std::atomic<bool> stopping{false};
    std::atomic<std::int64_t> last_admission_ms{0};
    std::vector<std::thread> threads;
};

void call_on(fleet& it, const host_process& host, callers& all, common::time_point began_at) {
    while (!all.stopping) {
        const auto asked_ms = common::milliseconds_between(began_at, monotonic::now());
        if (status_at(it, host) == 200) {
            auto seen = all.last_admission_ms.load();
            while (seen < asked_ms && !all.last_admission_ms.compare_exchange_weak(seen, asked_ms)) {
            }
        }
    }
}

/// Milliseconds from the command to the last request that was sent and admitted.
std::int64_t measure_withdrawal(fleet& it, std::size_t at, milliseconds watch, std::string& answer) {
    callers all;
    const auto began_at = monotonic::now();
    for (const auto& host : it.hosts) {
        all.threads.emplace_back([&it, &host, &all, began_at] { call_on(it, host, all, began_at); });
    }
    answer = edit(it, it.hosts[at], withdrawal());
    const auto until = began_at + watch;
    wait_until(watch, [&] { return monotonic::now() >= until; });
    all.stopping = true;
    for (auto& thread : all.threads) {
        thread.join();
    }
    MESSAGE("last admission ", all.last_admission_ms.load(), " ms after the command");
    return all.last_admission_ms;
}

bool contains(const std::string& text, const std::string& part) {
    return text.find(part) != std::string::npos;
}

void set_store(fleet& it, const std::string& query) {
    ask(it, it.store_address, "POST", "/control?" + query);
}

} // namespace

TEST_SUITE("key_withdrawal") {
    TEST_CASE("a withdrawn key stops within the target for connected callers") {
        const auto it = start_serving(false);
        std::string answer;
        CHECK(measure_withdrawal(*it, 2, withdrawal_target * 2, answer) <= withdrawal_target.count());
        CHECK(contains(answer, "\"accepted\""));
        const auto again =
            R"({"key_team":"kite","add_key_digest":")" + common::key_digest("key-of-kite") + "\"}";
        CHECK(contains(edit(*it, it->hosts[0], again), "a key was withdrawn"));
    }

    TEST_CASE("with the store down it stops within the target and is stored later; a plain edit fails") {
        const auto it = start_serving(false);
        set_store(*it, "outage=1");
        // The naive way, an edit of the record, gets nowhere, and the key goes on working.
        const auto naive = edit(*it, it->hosts[0], R"({"withdraw_team":"kite"})");
        CHECK(contains(naive, "\"unavailable\""));
        CHECK(status_at(*it, it->hosts[1]) == 200);
        std::string answer;
        CHECK(measure_withdrawal(*it, 0, withdrawal_target * 2, answer) <= withdrawal_target.count());
        CHECK(contains(answer, "in force on 3 hosts, not yet stored"));
        set_store(*it, "outage=0");
        const auto is_stored = [&] {
            const execution::header secret{"authorization", std::string(operator_secret)};
            const auto shown = ask(*it, it->hosts[1].operators, "GET", "/v1/catalog", {secret});
            return shown && contains(shown->body, "withdrawn_digests");
        };
        CHECK(wait_until(patience, is_stored));
        // A host without memory learns it from the store.
        kill_child(it->hosts[2].process);
        REQUIRE(start_host(*it, it->hosts[2]));
        CHECK(wait_until(patience, [&] { return status_at(*it, it->hosts[2]) == 401; }));
    }

    TEST_CASE("a host that is cut off stops within the worst case") {
        const auto it = start_serving(true);
        isolate_host(*it, 0, true);
        set_cut(*it, "store-1", it->hosts[0].ip, true);
        std::string answer;
        CHECK(measure_withdrawal(*it, 1, worst_withdrawal, answer) <= worst_withdrawal.count());
        isolate_host(*it, 0, false);
        set_cut(*it, "store-1", it->hosts[0].ip, false);
        CHECK(wait_until(patience, [&] { return status_at(*it, it->hosts[0]) == 401; }));
    }

    TEST_CASE("a host frozen over the withdrawal admits nothing when it wakes") {
        const auto it = start_serving(false);
        send_signal(it->hosts[0].process, SIGSTOP);
        CHECK(contains(edit(*it, it->hosts[1], withdrawal()), "\"accepted\""));
        send_signal(it->hosts[0].process, SIGCONT);
        for (int n = 0; n < 50; ++n) {
            CHECK(status_at(*it, it->hosts[0]) != 200);
        }
    }
}

} // namespace lycheegap::failure_tests
