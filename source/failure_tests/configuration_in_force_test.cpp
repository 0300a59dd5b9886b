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

/// Length of an authority in the default settings.
constexpr auto authority_length = milliseconds(3000);
/// Allows for a busy machine: heartbeats, calls and starts of processes.
constexpr auto patience = milliseconds(20'000);

execution::header secret() {
    return {"authorization", std::string(operator_secret)};
}

int status_at(fleet& it, const host_process& host, const std::string& team = "kite") {
    const auto answer =
        ask(it, host.request, "GET", "/forecast/a", {{std::string(execution::key_header), "key-of-" + team}});
    return answer ? answer->status : 0;
}

bool serves(fleet& it, const host_process& host) {
    return status_at(it, host) == 200;
}

bool closed(fleet& it, const host_process& host) {
    const auto answer =
        ask(it, host.request, "GET", "/forecast/a", {{std::string(execution::key_header), "key-of-kite"}});
    return answer && answer->status == 503 && answer->body.find("not_run") != std::string::npos;
}

void set_store(fleet& it, const std::string& query) {
    ask(it, it.store_address, "POST", "/control?" + query);
}

std::string team_edit(double rate, const std::string& extra = "") {
    return fmt::format("{{{}\"set_team\":{{\"name\":\"kite\",\"template_name\":\"school\",\"rate\":{},"
                       "\"burst\":1000,\"services\":[\"forecast\"],\"key_digests\":[\"{}\"]}}}}",
                       extra, rate, common::key_digest("key-of-kite"));
}

std::unique_ptr<fleet> start_serving(int hosts, bool with_links) {
    fleet_options options;
    options.hosts = hosts;
    options.with_links = with_links;
    auto it = start_fleet(options);
    REQUIRE(it);
    REQUIRE(set_up_teams(*it, {"kite"}, 100'000, 1000));
    for (const auto& host : it->hosts) {
        REQUIRE(wait_until(patience, [&] { return serves(*it, host); }));
    }
    return it;
}

std::uint64_t number_in(const std::string& text, const std::string& field) {
    const auto at = text.find("\"" + field + "\": ");
    return at == std::string::npos ? 0 : std::strtoull(text.c_str() + at + field.size() + 4, nullptr, 10);
}

std::string status_of(fleet& it, const host_process& host, std::uint64_t revision) {
    const auto path = fmt::format("/v1/edit/status?revision={}", revision);
    const auto answer = ask(it, host.operators, "GET", path, {secret()});
    return answer ? answer->body : std::string();
}

bool contains(const std::string& text, const std::string& part) {
    return text.find(part) != std::string::npos;
}

} // namespace

TEST_SUITE("configuration_in_force") {
    TEST_CASE("an accepted edit is known to every host and any host tells so") {
        const auto it = start_serving(3, false);
        const auto answer = edit(*it, it->hosts[1], team_edit(50'000));
        CHECK(contains(answer, "\"accepted\""));
        const auto revision = number_in(answer, "revision");
        for (const auto& host : it->hosts) {
            CHECK(number_in(dump_of(*it, host), "catalog_revision") >= revision);
            CHECK(wait_until(patience,
                             [&] { return contains(status_of(*it, host, revision), "\"accepted\""); }));
        }
    }

    TEST_CASE("with the store down hosts serve on past their authority's length and record no edit") {
        const auto it = start_serving(3, false);
        set_store(*it, "outage=1");
        const auto until = monotonic::now() + authority_length * 2;
        int refused = 0;
        while (monotonic::now() < until) {
            for (const auto& host : it->hosts) {
                refused += closed(*it, host) ? 1 : 0;
            }
        }
        CHECK(refused == 0);
        const auto answer = edit(*it, it->hosts[0], team_edit(1));
        CHECK_MESSAGE(contains(answer, "\"unavailable\""), answer);
        set_store(*it, "outage=0");
        CHECK(wait_until(
            patience, [&] { return contains(edit(*it, it->hosts[0], team_edit(50'000)), "\"accepted\""); }));
    }

    TEST_CASE("a cut-off host closes its keyed routes before an edit is accepted, and opens them again") {
        const auto it = start_serving(3, true);
        isolate_host(*it, 0, true);
        set_cut(*it, "store-1", it->hosts[0].ip, true);
        const auto answer = edit(*it, it->hosts[1], team_edit(50'000));
        // Accepted means: the host that was cut off acts no more.
        CHECK(contains(answer, "\"accepted\""));
        CHECK(status_at(*it, it->hosts[0]) != 200);
        // The team's home may have been the host that is cut off.
        CHECK(wait_until(patience, [&] { return serves(*it, it->hosts[1]); }));
        isolate_host(*it, 0, false);
        set_cut(*it, "store-1", it->hosts[0].ip, false);
        CHECK(wait_until(patience, [&] { return serves(*it, it->hosts[0]); }));
        CHECK(number_in(dump_of(*it, it->hosts[0]), "catalog_revision") >= number_in(answer, "revision"));
    }

    TEST_CASE("a frozen host that wakes after an edit was accepted does not act on what it knew") {
        const auto it = start_serving(3, false);
        send_signal(it->hosts[0].process, SIGSTOP);
        const auto gone = fmt::format("{{\"withdraw_team\":\"kite\"}}");
        const auto answer = edit(*it, it->hosts[1], gone);
        CHECK(contains(answer, "\"accepted\""));
        send_signal(it->hosts[0].process, SIGCONT);
        // Never admitted again, from the first request after the pause on.
        for (int n = 0; n < 50; ++n) {
            CHECK(status_at(*it, it->hosts[0]) != 200);
        }
    }

    TEST_CASE("a killed host is taken out, and comes back as a new incarnation") {
        const auto it = start_serving(3, false);
        const auto is_taken_out = [&] {
            const auto dump = dump_of(*it, it->hosts[0]);
            const auto members = dump.find("\"members\"");
            const auto end = dump.find("\"floor\"", members);
            return end != std::string::npos && !contains(dump.substr(members, end - members), "\"host-3\"");
        };
        kill_child(it->hosts[2].process);
        CHECK_MESSAGE(wait_until(patience, is_taken_out), dump_of(*it, it->hosts[0]));
        CHECK(wait_until(patience, [&] { return serves(*it, it->hosts[0]); }));
        REQUIRE(start_host(*it, it->hosts[2]));
        CHECK(wait_until(patience, [&] { return serves(*it, it->hosts[2]); }));
    }

    TEST_CASE("operators who race on one record conflict and see both values; on two records they do not") {
        const auto it = start_serving(2, false);
        const auto changed = number_in(status_of(*it, it->hosts[0], 1), "revision");
        CHECK(changed == 1);
        // Both saw the team as it was set up, by revision 3.
        const std::string seen = "\"expected_revision\":3,";
        std::string first;
        std::string second;
        std::thread racer([&] { first = edit(*it, it->hosts[0], team_edit(111, seen)); });
        second = edit(*it, it->hosts[1], team_edit(222, seen));
        racer.join();
        const bool first_won = contains(first, "\"accepted\"");
        CHECK(first_won != contains(second, "\"accepted\""));
        const auto& lost = first_won ? second : first;
        CHECK(contains(lost, "\"conflict\""));
        CHECK(contains(lost, "111"));
        CHECK(contains(lost, "222"));
        auto other = team_edit(5, seen);
        other.replace(other.find("\"kite\""), 6, "\"sail\"");
        other.replace(other.find(common::key_digest("key-of-kite")), 64, common::key_digest("key-of-sail"));
        CHECK(contains(edit(*it, it->hosts[0], other), "\"accepted\""));
    }

    TEST_CASE("an edit whose answer the store loses is recorded once") {
        const auto it = start_serving(2, false);
        const auto before = number_in(dump_of(*it, it->hosts[0]), "catalog_revision");
        set_store(*it, "lost_answer_delay_ms=1500");
        const auto answer = edit(*it, it->hosts[0], team_edit(77));
        set_store(*it, "lost_answer_delay_ms=0");
        CHECK(contains(answer, "\"accepted\""));
        CHECK(number_in(answer, "revision") == before + 1);
    }
}

} // namespace lycheegap::failure_tests
