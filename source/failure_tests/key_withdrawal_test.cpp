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

/// The users' targets for the time from the withdrawal to the last admission: in general, and in the worst
/// case, at a host that is cut off.
constexpr auto withdrawal_target = milliseconds(3000);
constexpr auto cut_off_withdrawal_target = milliseconds(11'000);
constexpr auto wait_timeout = milliseconds(20'000);

int request_status(fleet& it, const host_process& host) {
    const auto response = send_test_request(it, host.request_address, "GET", "/forecast/a",
                                            {{std::string(execution::key_header), "key-of-kite"}});
    return response ? response->status : 0;
}

std::unique_ptr<fleet> start_serving_fleet(bool use_link_stand_in) {
    fleet_options options;
    options.use_link_stand_in = use_link_stand_in;
    auto it = start_fleet(options);
    REQUIRE(it);
    REQUIRE(create_teams(*it, {"kite"}, 100'000, 1000));
    for (const auto& host : it->hosts) {
        REQUIRE(wait_until(wait_timeout, [&] { return request_status(*it, host) == 200; }));
    }
    return it;
}

std::string withdrawal_json() {
    return R"({"key_team":"kite","withdraw_key_digest":")" + common::key_digest("key-of-kite") + "\"}";
}

/// Callers that send without pause on open connections, one for each host.
struct caller_group {
    std::atomic<bool> stopping{false};
    std::atomic<std::int64_t> last_admission_ms{0};
    std::vector<std::thread> threads;
};

void send_until_stopped(fleet& it, const host_process& host, caller_group& callers,
                        common::time_point started_at) {
    while (!callers.stopping) {
        const auto requested_ms = common::milliseconds_between(started_at, monotonic::now());
        if (request_status(it, host) == 200) {
            auto previous = callers.last_admission_ms.load();
            while (previous < requested_ms &&
                   !callers.last_admission_ms.compare_exchange_weak(previous, requested_ms)) {
            }
        }
    }
}

/// Withdraws the key at one host under load; returns the milliseconds from the command to the sending of the
/// last request that was admitted.
std::int64_t measure_withdrawal(fleet& it, std::size_t host_index, milliseconds observation_time,
                                std::string& response) {
    caller_group callers;
    const auto started_at = monotonic::now();
    for (const auto& host : it.hosts) {
        callers.threads.emplace_back(
            [&it, &host, &callers, started_at] { send_until_stopped(it, host, callers, started_at); });
    }
    response = post_edit(it, it.hosts[host_index], withdrawal_json());
    const auto observation_end = started_at + observation_time;
    wait_until(observation_time, [&] { return monotonic::now() >= observation_end; });
    callers.stopping = true;
    for (auto& thread : callers.threads) {
        thread.join();
    }
    MESSAGE("last admission ", callers.last_admission_ms.load(), " ms after the command");
    return callers.last_admission_ms;
}

bool contains(const std::string& text, const std::string& part) {
    return text.find(part) != std::string::npos;
}

void control_store(fleet& it, const std::string& query) {
    send_test_request(it, it.store_address, "POST", "/control?" + query);
}

} // namespace

TEST_SUITE("key_withdrawal") {
    TEST_CASE("a withdrawn key is refused within the target on open connections") {
        const auto it = start_serving_fleet(false);
        std::string response;
        CHECK(measure_withdrawal(*it, 2, withdrawal_target * 2, response) <= withdrawal_target.count());
        CAPTURE(response);
        CHECK(contains(response, "\"accepted\""));
        const auto add_key_again =
            R"({"key_team":"kite","add_key_digest":")" + common::key_digest("key-of-kite") + "\"}";
        CHECK(contains(post_edit(*it, it->hosts[0], add_key_again), "a key was withdrawn"));
    }

    TEST_CASE("with the store down, a key withdrawal meets the target and is stored later; an edit fails") {
        const auto it = start_serving_fleet(false);
        control_store(*it, "outage=1");
        // Withdrawing the team by an edit needs the store: it fails, and the key still works.
        const auto edit_response = post_edit(*it, it->hosts[0], R"({"withdraw_team":"kite"})");
        CHECK(contains(edit_response, "\"unavailable\""));
        CHECK(request_status(*it, it->hosts[1]) == 200);
        std::string response;
        CHECK(measure_withdrawal(*it, 0, withdrawal_target * 2, response) <= withdrawal_target.count());
        CHECK(contains(response, "in force on 3 hosts, not yet stored"));
        control_store(*it, "outage=0");
        const auto is_stored = [&] {
            const execution::header secret_header{"authorization", std::string(operator_secret)};
            const auto catalog_response =
                send_test_request(*it, it->hosts[1].operator_address, "GET", "/v1/catalog", {secret_header});
            return catalog_response && contains(catalog_response->body, "withdrawn_digests");
        };
        CHECK(wait_until(wait_timeout, is_stored));
        // A restarted host reads the withdrawal from the store.
        kill_child(it->hosts[2].process);
        REQUIRE(start_host(*it, it->hosts[2]));
        CHECK(wait_until(wait_timeout, [&] { return request_status(*it, it->hosts[2]) == 401; }));
    }

    TEST_CASE("a host that is cut off refuses a withdrawn key within its target") {
        const auto it = start_serving_fleet(true);
        isolate_host(*it, 0, true);
        set_cut(*it, "store-1", it->hosts[0].ip, true);
        std::string response;
        CHECK(measure_withdrawal(*it, 1, cut_off_withdrawal_target, response) <=
              cut_off_withdrawal_target.count());
        isolate_host(*it, 0, false);
        set_cut(*it, "store-1", it->hosts[0].ip, false);
        CHECK(wait_until(wait_timeout, [&] { return request_status(*it, it->hosts[0]) == 401; }));
    }

    TEST_CASE("a host frozen during the withdrawal admits nothing when it resumes") {
        const auto it = start_serving_fleet(false);
        send_signal(it->hosts[0].process, SIGSTOP);
        CHECK(contains(post_edit(*it, it->hosts[1], withdrawal_json()), "\"accepted\""));
        send_signal(it->hosts[0].process, SIGCONT);
        for (int n = 0; n < 50; ++n) {
            CHECK(request_status(*it, it->hosts[0]) != 200);
        }
    }
}

} // namespace lycheegap::failure_tests
