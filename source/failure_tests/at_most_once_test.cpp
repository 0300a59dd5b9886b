#include <csignal>
#include <functional>
#include <thread>

#include <doctest/doctest.h>
#include <fmt/format.h>

#include "core/schema/codec.h"
#include "core/schema/generated/callers_generated.h"
#include "fleet.h"

namespace lycheegap::failure_tests {

namespace {

using common::milliseconds;
using execution::header;
using transport::http_response;

constexpr int service_ms = 200;
constexpr auto fault_length = milliseconds(500);
/// Before the host, before the endpoint, while the endpoint runs, around the answer.
constexpr int fault_moments_ms[] = {0, 5, 100, 198};

/// Short enough that a cut outlasts no test.
constexpr std::string_view short_template =
    R"({"set_template":{"name":"school","request_timeout":1500,"routes":[)"
    R"({"method":"GET","path_prefix":"/forecast","service":"forecast"},)"
    R"({"method":"POST","path_prefix":"/bookings","service":"forecast","work":"once"}]}})";

/// Waits until every host gives the team an answer.
bool serves_again(fleet& it) {
    return wait_until(milliseconds(10'000), [&] {
        return std::all_of(it.hosts.begin(), it.hosts.end(), [&](const auto& host) {
            const auto answer = ask(it, host.request, "GET", "/forecast", {{"x-team-key", "key-of-kite"}});
            return answer && answer->status == 200;
        });
    });
}

std::unique_ptr<fleet> start_booking_fleet() {
    fleet_options options;
    options.with_links = true;
    auto it = start_fleet(options);
    if (!it || !set_up_teams(*it, {"kite"}, 1000, 200)) {
        return nullptr;
    }
    edit(*it, it->hosts[0], short_template);
    for (const auto& endpoint : it->endpoints) {
        ask(*it, endpoint.address, "POST", fmt::format("/control?service_ms={}", service_ms));
    }
    return serves_again(*it) ? std::move(it) : nullptr;
}

std::string ticket_of(fleet& it, const host_process& host) {
    const auto answer = ask(it, host.lookup, "GET", "/v1/lookup");
    const auto decoded =
        answer ? schema::from_json<schema::lookup_answer>(answer->body, host.name) : std::nullopt;
    return decoded ? decoded->ticket : std::string();
}

std::optional<http_response> book(fleet& it, const host_process& host, const std::string& id,
                                  const std::string& path) {
    const std::vector<header> headers = {{"x-team-key", "key-of-kite"}, {"x-request-id", id}};
    return ask(it, host.request, "POST", path, headers, "one lesson");
}

/// A caller that waits no longer than `limit`.
std::optional<http_response> book_until(fleet& it, const std::string& id, const std::string& path,
                                        milliseconds limit) {
    transport::http_call call;
    call.address = it.hosts[0].request;
    call.head.method = "POST";
    call.head.path = path;
    call.head.headers = {{"x-team-key", "key-of-kite"}, {"x-request-id", id}};
    call.body = transport::as_bytes("one lesson");
    call.deadline = common::monotonic::now() + limit;
    return transport::call_http(it.connections, call).response;
}

/// Runs of a booking by the endpoints' logs, which outlive them.
int count_runs(const fleet& it, const std::string& path) {
    const auto line = "path=" + path + "\n";
    int n = 0;
    for (const auto& entry : it.endpoints) {
        const auto log = read_log(entry.process);
        for (auto at = log.find(line); at != std::string::npos; at = log.find(line, at + 1)) {
            ++n;
        }
    }
    return n;
}

std::string said_of(const std::optional<http_response>& answer) {
    if (!answer) {
        return "nothing";
    }
    const auto outcome = execution::find_header(answer->headers, "x-outcome");
    return outcome.empty() ? fmt::format("answered {}", answer->status) : std::string(outcome);
}

std::string inquire(fleet& it, const host_process& host, const std::string& id) {
    const auto answer = ask(it, host.request, "GET", "/v1/outcomes/" + id);
    const auto decoded =
        answer ? schema::from_json<schema::outcome_report>(answer->body, host.name) : std::nullopt;
    return decoded ? decoded->state : "nothing";
}

/// What became of one booking under a fault.
struct booking_story {
    std::vector<std::string> said;
    int runs{0};
};

bool says(const booking_story& story, std::string_view what) {
    return std::any_of(story.said.begin(), story.said.end(),
                       [&](const auto& it) { return it.starts_with(what); });
}

struct fault {
    std::string name;
    std::function<void(fleet&)> begin;
    std::function<void(fleet&)> end;
};

/// Host 1 takes the booking, host 2 remembers its id.
booking_story tell_story(fleet& it, const fault& what, int moment_ms, const std::string& path) {
    booking_story story;
    const auto id = ticket_of(it, it.hosts[1]) + ".1";
    std::optional<http_response> first;
    std::thread caller([&] { first = book(it, it.hosts[0], id, path); });
    std::this_thread::sleep_for(milliseconds(moment_ms));
    what.begin(it);
    std::this_thread::sleep_for(fault_length);
    story.said.push_back(said_of(book(it, it.hosts[2], id, path)));
    what.end(it);
    caller.join();
    story.said.push_back(said_of(first));
    for (const auto& host : it.hosts) {
        story.said.push_back(said_of(book(it, host, id, path)));
        story.said.push_back(inquire(it, host, id));
    }
    story.runs = count_runs(it, path);
    return story;
}

std::string join(const std::vector<std::string>& parts) {
    std::string text;
    for (const auto& it : parts) {
        text += it + ", ";
    }
    return text;
}

void check_story(const booking_story& story) {
    CHECK(story.runs <= 1);
    if (says(story, "not_run")) {
        CHECK(story.runs == 0);
    }
    if (says(story, "answered")) {
        CHECK(story.runs == 1);
    }
}

/// Ends a host at once and starts its next incarnation.
fault kill_host(std::size_t n) {
    return {fmt::format("kill host {}", n + 1), [n](fleet& it) { kill_child(it.hosts[n].process); },
            [n](fleet& it) { CHECK(start_host(it, it.hosts[n])); }};
}

fault freeze_host(std::size_t n) {
    return {fmt::format("freeze host {}", n + 1),
            [n](fleet& it) { send_signal(it.hosts[n].process, SIGSTOP); },
            [n](fleet& it) { send_signal(it.hosts[n].process, SIGCONT); }};
}

fault freeze_endpoints() {
    const auto signal_all = [](fleet& it, int signal) {
        for (const auto& endpoint : it.endpoints) {
            send_signal(endpoint.process, signal);
        }
    };
    return {"freeze endpoints", [=](fleet& it) { signal_all(it, SIGSTOP); },
            [=](fleet& it) { signal_all(it, SIGCONT); }};
}

fault cut_link() {
    return {"cut link of host 2", [](fleet& it) { isolate_host(it, 1, true); },
            [](fleet& it) { isolate_host(it, 1, false); }};
}

} // namespace

TEST_SUITE_BEGIN("at_most_once");

TEST_CASE("killed, frozen or cut at each step, a booking never runs twice") {
    const auto it = start_booking_fleet();
    REQUIRE(it);
    int unknown_but_ran = 0;
    int story_number = 0;
    for (const auto& what :
         {freeze_host(0), freeze_host(1), freeze_endpoints(), cut_link(), kill_host(0), kill_host(1)}) {
        for (const int moment_ms : fault_moments_ms) {
            const auto path = fmt::format("/bookings/{}", ++story_number);
            REQUIRE(serves_again(*it));
            const auto story = tell_story(*it, what, moment_ms, path);
            CAPTURE(what.name);
            CAPTURE(moment_ms);
            MESSAGE(what.name, " at ", moment_ms, " ms: runs ", story.runs, "; said ", join(story.said));
            check_story(story);
            unknown_but_ran += story.runs == 1 && says(story, "unknown") ? 1 : 0;
        }
    }
    // A host that said "not run" on each failure would have lied this often.
    CHECK(unknown_but_ran > 0);
}

TEST_CASE("killed endpoints: a booking never runs twice") {
    for (const int moment_ms : {5, 100}) {
        const auto it = start_booking_fleet();
        REQUIRE(it);
        const fault kill_endpoints{"kill endpoints",
                                   [](fleet& all) {
                                       for (auto& endpoint : all.endpoints) {
                                           kill_child(endpoint.process);
                                       }
                                   },
                                   [](fleet&) {}};
        const auto story = tell_story(*it, kill_endpoints, moment_ms, "/bookings/1");
        MESSAGE("kill endpoints at ", moment_ms, " ms: runs ", story.runs, "; said ", join(story.said));
        check_story(story);
    }
}

TEST_CASE("a caller that retries under new ids books twice; one that repeats its id does not") {
    const auto it = start_booking_fleet();
    REQUIRE(it);
    const auto ticket = ticket_of(*it, it->hosts[1]);
    // Both callers give up waiting while the endpoint runs.
    CHECK(said_of(book_until(*it, ticket + ".1", "/bookings/naive", milliseconds(service_ms / 2))) ==
          "nothing");
    CHECK(said_of(book_until(*it, ticket + ".2", "/bookings/ours", milliseconds(service_ms / 2))) ==
          "nothing");
    CHECK(said_of(book(*it, it->hosts[2], ticket + ".3", "/bookings/naive")) == "answered 200");
    CHECK(said_of(book(*it, it->hosts[2], ticket + ".2", "/bookings/ours")) == "answered 200");
    CHECK(count_runs(*it, "/bookings/naive") == 2);
    CHECK(count_runs(*it, "/bookings/ours") == 1);
}

TEST_CASE("bookings without a proper id are refused as not run and told how") {
    const auto it = start_booking_fleet();
    REQUIRE(it);
    const auto ticket = ticket_of(*it, it->hosts[0]);
    for (const auto& [id, status] : std::vector<std::pair<std::string, int>>{
             {"", 428}, {"7", 428}, {ticket, 428}, {ticket + ".01", 428}, {"a b", 400}}) {
        const auto answer = book(*it, it->hosts[0], id, "/bookings/bad");
        REQUIRE(answer);
        CHECK(answer->status == status);
        CHECK(said_of(answer) == "not_run");
    }
    const auto refused = book(*it, it->hosts[0], "", "/bookings/bad");
    const auto told = schema::from_json<schema::refusal>(refused->body, "host");
    REQUIRE(told);
    CHECK(count_runs(*it, "/bookings/bad") == 0);
    CHECK(said_of(book(*it, it->hosts[1], told->ticket + ".1", "/bookings/good")) == "answered 200");
    CHECK(said_of(book(*it, it->hosts[2], told->ticket + ".1", "/bookings/other")) == "not_run");
    CHECK(count_runs(*it, "/bookings/other") == 0);
}

TEST_SUITE_END();
TEST_SUITE_BEGIN("truthful_refusal");

TEST_CASE("an inquiry settles an id: what it calls not run never runs") {
    const auto it = start_booking_fleet();
    REQUIRE(it);
    const auto id = ticket_of(*it, it->hosts[1]) + ".1";
    CHECK(inquire(*it, it->hosts[0], id) == "not_run");
    CHECK(said_of(book(*it, it->hosts[2], id, "/bookings/late")) == "not_run");
    CHECK(count_runs(*it, "/bookings/late") == 0);

    const auto lost = ticket_of(*it, it->hosts[1]) + ".1";
    kill_child(it->hosts[1].process);
    CHECK(said_of(book(*it, it->hosts[0], lost, "/bookings/gone")) == "unknown");
    REQUIRE(start_host(*it, it->hosts[1]));
    CHECK(said_of(book(*it, it->hosts[1], lost, "/bookings/gone")) == "unknown");
    const auto is_unknown = [&] { return inquire(*it, it->hosts[0], lost) == "unknown"; };
    CHECK(wait_until(milliseconds(3000), is_unknown));
    CHECK(count_runs(*it, "/bookings/gone") == 0);
}

TEST_SUITE_END();

} // namespace lycheegap::failure_tests
