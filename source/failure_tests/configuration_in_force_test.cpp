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

/// Duration of the authority lease in the default settings.
constexpr auto authority_lease_duration = milliseconds(3000);
/// Long enough for heartbeats, calls and process starts on a busy machine.
constexpr auto wait_timeout = milliseconds(20'000);

execution::header operator_secret_header() {
    return {"authorization", std::string(operator_secret)};
}

int request_status(fleet& it, const host_process& host, const std::string& team = "kite") {
    const auto response = send_test_request(it, host.request_address, "GET", "/forecast/a",
                                            {{std::string(execution::key_header), "key-of-" + team}});
    return response ? response->status : 0;
}

bool serves(fleet& it, const host_process& host) {
    return request_status(it, host) == 200;
}

bool is_refused_as_not_run(fleet& it, const host_process& host) {
    const auto response = send_test_request(it, host.request_address, "GET", "/forecast/a",
                                            {{std::string(execution::key_header), "key-of-kite"}});
    return response && response->status == 503 && response->body.find("not_run") != std::string::npos;
}

void control_store(fleet& it, const std::string& query) {
    send_test_request(it, it.store_address, "POST", "/control?" + query);
}

std::string team_edit_json(double rate, const std::string& extra = "") {
    return fmt::format("{{{}\"set_team\":{{\"name\":\"kite\",\"template_name\":\"school\",\"rate\":{},"
                       "\"burst\":1000,\"services\":[\"forecast\"],\"key_digests\":[\"{}\"]}}}}",
                       extra, rate, common::key_digest("key-of-kite"));
}

std::unique_ptr<fleet> start_serving_fleet(int hosts, bool use_link_stand_in) {
    fleet_options options;
    options.hosts = hosts;
    options.use_link_stand_in = use_link_stand_in;
    auto it = start_fleet(options);
    REQUIRE(it);
    REQUIRE(create_teams(*it, {"kite"}, 100'000, 1000));
    for (const auto& host : it->hosts) {
        REQUIRE(wait_until(wait_timeout, [&] { return serves(*it, host); }));
    }
    return it;
}

std::uint64_t find_number(const std::string& text, const std::string& field) {
    const auto field_start = text.find("\"" + field + "\": ");
    return field_start == std::string::npos
               ? 0
               : std::strtoull(text.c_str() + field_start + field.size() + 4, nullptr, 10);
}

std::string fetch_edit_status(fleet& it, const host_process& host, std::uint64_t revision) {
    const auto path = fmt::format("/v1/edit/status?revision={}", revision);
    const auto response =
        send_test_request(it, host.operator_address, "GET", path, {operator_secret_header()});
    return response ? response->body : std::string();
}

bool contains(const std::string& text, const std::string& part) {
    return text.find(part) != std::string::npos;
}

} // namespace

TEST_SUITE("configuration_in_force") {
    TEST_CASE("an accepted edit is known to every host, and every host reports its status") {
        const auto it = start_serving_fleet(3, false);
        const auto response = post_edit(*it, it->hosts[1], team_edit_json(50'000));
        CHECK(contains(response, "\"accepted\""));
        const auto revision = find_number(response, "revision");
        for (const auto& host : it->hosts) {
            CHECK(find_number(fetch_dump(*it, host), "catalog_revision") >= revision);
            CHECK(wait_until(wait_timeout, [&] {
                return contains(fetch_edit_status(*it, host, revision), "\"accepted\"");
            }));
        }
    }

    TEST_CASE("a single host serves and accepts an edit") {
        const auto it = start_serving_fleet(1, false);
        CHECK(contains(post_edit(*it, it->hosts[0], team_edit_json(50'000)), "\"accepted\""));
    }

    TEST_CASE("with the store down, hosts serve for longer than their authority lease and record no edit") {
        const auto it = start_serving_fleet(3, false);
        control_store(*it, "outage=1");
        const auto until = monotonic::now() + authority_lease_duration * 2;
        int refusals = 0;
        while (monotonic::now() < until) {
            for (const auto& host : it->hosts) {
                refusals += is_refused_as_not_run(*it, host) ? 1 : 0;
            }
        }
        CHECK(refusals == 0);
        const auto response = post_edit(*it, it->hosts[0], team_edit_json(1));
        CHECK_MESSAGE(contains(response, "\"unavailable\""), response);
        control_store(*it, "outage=0");
        CHECK(wait_until(wait_timeout, [&] {
            return contains(post_edit(*it, it->hosts[0], team_edit_json(50'000)), "\"accepted\"");
        }));
    }

    TEST_CASE(
        "a host that is cut off closes its keyed routes before an edit is accepted, and reopens them later") {
        const auto it = start_serving_fleet(3, true);
        isolate_host(*it, 0, true);
        set_cut(*it, "store-1", it->hosts[0].ip, true);
        const auto response = post_edit(*it, it->hosts[1], team_edit_json(50'000));
        // An edit is accepted only when the host that is cut off no longer serves by the old configuration.
        CHECK(contains(response, "\"accepted\""));
        CHECK(request_status(*it, it->hosts[0]) != 200);
        // If the host that is cut off was the team's home, another host must take over first.
        CHECK(wait_until(wait_timeout, [&] { return serves(*it, it->hosts[1]); }));
        isolate_host(*it, 0, false);
        set_cut(*it, "store-1", it->hosts[0].ip, false);
        CHECK(wait_until(wait_timeout, [&] { return serves(*it, it->hosts[0]); }));
        CHECK(find_number(fetch_dump(*it, it->hosts[0]), "catalog_revision") >=
              find_number(response, "revision"));
    }

    TEST_CASE(
        "a frozen host that resumes after an edit was accepted does not use its outdated configuration") {
        const auto it = start_serving_fleet(3, false);
        send_signal(it->hosts[0].process, SIGSTOP);
        const auto withdrawal = fmt::format("{{\"withdraw_team\":\"kite\"}}");
        const auto response = post_edit(*it, it->hosts[1], withdrawal);
        CHECK(contains(response, "\"accepted\""));
        send_signal(it->hosts[0].process, SIGCONT);
        // Not one request is admitted, including the first one after the pause.
        for (int n = 0; n < 50; ++n) {
            CHECK(request_status(*it, it->hosts[0]) != 200);
        }
    }

    TEST_CASE("a killed host is removed from the members and serves again after a restart") {
        const auto it = start_serving_fleet(3, false);
        const auto is_removed = [&] {
            const auto dump = fetch_dump(*it, it->hosts[0]);
            const auto members = dump.find("\"members\"");
            const auto end = dump.find("\"floor\"", members);
            return end != std::string::npos && !contains(dump.substr(members, end - members), "\"host-3\"");
        };
        kill_child(it->hosts[2].process);
        CHECK_MESSAGE(wait_until(wait_timeout, is_removed), fetch_dump(*it, it->hosts[0]));
        CHECK(wait_until(wait_timeout, [&] { return serves(*it, it->hosts[0]); }));
        REQUIRE(start_host(*it, it->hosts[2]));
        CHECK(wait_until(wait_timeout, [&] { return serves(*it, it->hosts[2]); }));
    }

    TEST_CASE("concurrent edits of one record conflict and report both values; edits of two records do not") {
        const auto it = start_serving_fleet(2, false);
        const auto first_revision = find_number(fetch_edit_status(*it, it->hosts[0], 1), "revision");
        CHECK(first_revision == 1);
        // Both edits expect the team as it was created, at revision 3.
        const std::string expected_revision = "\"expected_revision\":3,";
        std::string first;
        std::string second;
        std::thread other_operator(
            [&] { first = post_edit(*it, it->hosts[0], team_edit_json(111, expected_revision)); });
        second = post_edit(*it, it->hosts[1], team_edit_json(222, expected_revision));
        other_operator.join();
        const bool first_accepted = contains(first, "\"accepted\"");
        CHECK(first_accepted != contains(second, "\"accepted\""));
        const auto& rejected = first_accepted ? second : first;
        CHECK(contains(rejected, "\"conflict\""));
        CHECK(contains(rejected, "111"));
        CHECK(contains(rejected, "222"));
        auto other_team = team_edit_json(5, expected_revision);
        other_team.replace(other_team.find("\"kite\""), 6, "\"sail\"");
        other_team.replace(other_team.find(common::key_digest("key-of-kite")), 64,
                           common::key_digest("key-of-sail"));
        CHECK(contains(post_edit(*it, it->hosts[0], other_team), "\"accepted\""));
    }

    TEST_CASE("an edit is recorded once when the response of the store is lost") {
        const auto it = start_serving_fleet(2, false);
        const auto revision_before = find_number(fetch_dump(*it, it->hosts[0]), "catalog_revision");
        control_store(*it, "lost_answer_delay_ms=1500");
        const auto response = post_edit(*it, it->hosts[0], team_edit_json(77));
        control_store(*it, "lost_answer_delay_ms=0");
        CHECK(contains(response, "\"accepted\""));
        CHECK(find_number(response, "revision") == revision_before + 1);
    }
}

} // namespace lycheegap::failure_tests
