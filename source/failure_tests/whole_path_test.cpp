#include <filesystem>
#include <fstream>

#include <doctest/doctest.h>

#include "core/common/digest.h"
#include "core/common/last_reason.h"
#include "core/schema/generated/peer_generated.h"
#include "core/transport/peer_link.h"
#include "fleet.h"

namespace lycheegap::failure_tests {

namespace {

using execution::header;

header key_of(const std::string& team) {
    return {std::string(execution::key_header), "key-of-" + team};
}

int status_of(const std::optional<transport::http_response>& answer) {
    return answer ? answer->status : 0;
}

std::string record_of(fleet& it, const endpoint_process& endpoint) {
    const auto answer = ask(it, endpoint.address, "GET", "/record");
    return answer ? answer->body : std::string();
}

} // namespace

TEST_CASE("whole path: keyed, open, wrong key, withdrawn key, spent rate") {
    const auto it = start_fleet({});
    REQUIRE(it);
    REQUIRE(set_up_teams(*it, {"kite", "slow"}, 50, 10));
    const auto& host = it->hosts[1];

    const auto has_token = [&] {
        return status_of(ask(*it, host.request, "GET", "/forecast/a", {key_of("kite")})) == 200;
    };
    CHECK(wait_until(common::milliseconds(5000), has_token));
    CHECK(status_of(ask(*it, host.request, "GET", "/public/a")) == 200);
    CHECK(status_of(ask(*it, host.request, "GET", "/forecast/a")) == 401);
    CHECK(status_of(ask(*it, host.request, "GET", "/forecast/a", {{"x-team-key", "wrong"}})) == 401);
    CHECK(status_of(ask(*it, host.request, "GET", "/nowhere", {key_of("kite")})) == 404);

    int over_rate = 0;
    for (int n = 0; n < 60; ++n) {
        const auto answer = ask(*it, host.request, "GET", "/forecast/b", {key_of("slow")});
        over_rate += status_of(answer) == 429 ? 1 : 0;
    }
    CHECK(over_rate > 0);

    const auto withdrawn =
        R"({"key_team":"kite","withdraw_key_digest":")" + common::key_digest("key-of-kite") + "\"}";
    CHECK(edit(*it, it->hosts[2], withdrawn).find("\"revision\"") != std::string::npos);
    const auto is_refused = [&] {
        return status_of(ask(*it, host.request, "GET", "/forecast/a", {key_of("kite")})) == 401;
    };
    CHECK(wait_until(common::milliseconds(3000), is_refused));

    for (const auto& endpoint : it->endpoints) {
        CHECK(record_of(*it, endpoint).find("keys_seen=0") != std::string::npos);
    }
}

TEST_CASE("operators without the secret are refused") {
    fleet_options options;
    options.hosts = 1;
    options.endpoints = 0;
    const auto it = start_fleet(options);
    REQUIRE(it);
    CHECK(status_of(ask(*it, it->hosts[0].operators, "GET", "/v1/dump")) == 401);
    CHECK(status_of(ask(*it, it->hosts[0].operators, "GET", "/v1/dump", {{"authorization", "wrong"}})) ==
          401);
    const auto dump = dump_of(*it, it->hosts[0]);
    CHECK(dump.find("\"self\"") != std::string::npos);
    CHECK(dump.find(operator_secret) == std::string::npos);
    CHECK(dump.find(peer_secret) == std::string::npos);
    CHECK(read_log(it->hosts[0].process).find(operator_secret) == std::string::npos);
}

TEST_CASE("a body over the limit is refused and not run") {
    const auto it = start_fleet({1, 1, {"vestkyst-1"}, "[callers]\nbody_limit = 1024\n", false});
    REQUIRE(it);
    REQUIRE(set_up_teams(*it, {"kite"}, 1000, 100));
    const auto& host = it->hosts[0];
    const std::string body(2000, 'x');
    const auto answer = ask(*it, host.request, "POST", "/bookings", {key_of("kite")}, body);
    CHECK(status_of(answer) == 413);
    CHECK(answer->body.find("not_run") != std::string::npos);
    CHECK(record_of(*it, it->endpoints[0]).find("/bookings") == std::string::npos);
}

TEST_CASE("a cut link is silent and passes again after it is mended") {
    fleet_options options;
    options.with_links = true;
    const auto it = start_fleet(options);
    REQUIRE(it);
    const auto heard_all = [&] {
        const auto dump = dump_of(*it, it->hosts[0]);
        return dump.find("heard_ms_ago") != dump.rfind("heard_ms_ago");
    };
    REQUIRE(wait_until(common::milliseconds(6000), heard_all));
    isolate_host(*it, 0, true);
    const auto silent = [&] {
        const auto dump = dump_of(*it, it->hosts[0]);
        const auto heard = dump.find("\"heard_ms_ago\": ");
        return heard != std::string::npos && std::atoi(dump.c_str() + heard + 16) > 1500;
    };
    CHECK(wait_until(common::milliseconds(6000), silent));
    isolate_host(*it, 0, false);
    CHECK(wait_until(common::milliseconds(6000), [&] { return !silent(); }));
}

} // namespace lycheegap::failure_tests

namespace lycheegap::failure_tests {

namespace {

/// Runs lycheegapd with these settings to its end and returns its exit status and log.
struct failed_start {
    int status{0};
    std::string log;
};

failed_start start_with(const fleet& it, const std::string& option, const std::string& text) {
    const auto file = it.folder + "/bad.ini";
    const auto log = it.folder + "/bad.log";
    std::filesystem::remove(log);
    std::ofstream(file) << text;
    const std::vector<std::string> arguments = {option, file};
    auto child = start_child("lycheegapd", arguments, log);
    const int status = wait_for_end(child);
    return {status, read_log(child)};
}

constexpr std::string_view good_settings =
    "[host]\nname = h\naddress = 127.0.0.1\nregion = r\nfailure_domain = r-1\n"
    "[operators]\nsecret = a\n[peers]\nsecret = b\n[store]\n"
    "address = 127.0.0.1:1\n";

} // namespace

TEST_CASE("bad settings and a port in use stop the start with a reason") {
    fleet_options options;
    options.hosts = 1;
    options.endpoints = 0;
    const auto it = start_fleet(options);
    REQUIRE(it);
    const std::string good(good_settings);
    CHECK(start_with(*it, "--check-settings", good).status == 0);

    const auto unknown = start_with(*it, "--check-settings", good + "[callers]\nlookup_prot = 1\n");
    CHECK(unknown.status == 1);
    CHECK(unknown.log.find("bad.ini: [callers] lookup_prot") != std::string::npos);

    const auto range = start_with(*it, "--settings", good + "[callers]\nlookup_port = 65536\n");
    CHECK(range.status == 1);
    CHECK(range.log.find("bad.ini: [callers] lookup_port': 65536 is outside 0 to 65535") !=
          std::string::npos);

    const auto& taken = it->hosts[0].lookup;
    const auto colon = taken.find(':');
    auto in_use = good + "[callers]\nlookup_port = " + taken.substr(colon + 1) + "\n";
    in_use.replace(in_use.find("127.0.0.1"), 9, taken.substr(0, colon));
    const auto port = start_with(*it, "--settings", in_use);
    CHECK(port.status == 1);
    CHECK(port.log.find("step listen at '" + taken + "': Address already in use") != std::string::npos);
}

TEST_CASE("a malformed template is refused with a reason and nothing changes") {
    fleet_options options;
    options.hosts = 1;
    options.endpoints = 1;
    const auto it = start_fleet(options);
    REQUIRE(it);
    REQUIRE(set_up_teams(*it, {"kite"}, 50, 10));
    const auto& host = it->hosts[0];
    CHECK(edit(*it, host, R"({"set_template":{"name":"x","colour":1}})").find("unknown field") !=
          std::string::npos);
    CHECK(edit(*it, host, "{").find("invalid") != std::string::npos);
    const auto no_service =
        R"({"set_template":{"name":"x","routes":[{"method":"GET","path_prefix":"/","service":"s"}]}})";
    CHECK(edit(*it, host, no_service).find("service 's' does not exist") != std::string::npos);
    CHECK(edit(*it, host, R"({"withdraw_template":"school"})").find("template 'school' does not exist") !=
          std::string::npos);
    CHECK(dump_of(*it, host).find("\"catalog_revision\": 3") != std::string::npos);
}

TEST_CASE("a bad peer message and a wrong peer secret do no harm") {
    fleet_options options;
    options.hosts = 1;
    options.endpoints = 0;
    const auto it = start_fleet(options);
    REQUIRE(it);
    const auto peer = wait_for_field(it->hosts[0].process, "ready", "peer",
                                     common::monotonic::now() + common::milliseconds(1000));
    common::worker_pool pool(1);
    const auto ignore = [](schema::byte_view, const transport::peer_responder&) {};

    auto stranger = transport::start_peer_link({"127.0.0.1", 0, "wrong"}, pool, ignore);
    REQUIRE(stranger);
    const auto soon = [] { return common::monotonic::now() + common::milliseconds(2000); };
    CHECK(!stranger->call_and_wait(peer, schema::bytes(10), soon()));
    CHECK(common::last_reason().at == common::step::authenticate);
    CHECK(common::last_reason().peer == peer);

    auto member = transport::start_peer_link({"127.0.0.1", 0, std::string(peer_secret)}, pool, ignore);
    REQUIRE(member);
    const auto answer = member->call_and_wait(peer, schema::bytes(10, std::byte{0xff}), soon());
    REQUIRE(answer);
    const auto decoded = schema::decode<schema::peer_message>(*answer, peer);
    REQUIRE(decoded);
    REQUIRE(decoded->body.Aspeer_refusal() != nullptr);
    CHECK(decoded->body.Aspeer_refusal()->step == "decode");

    // Bytes that are no HTTP/2 at all end that connection only.
    CHECK(!ask(*it, peer, "GET", "/"));
    CHECK(!dump_of(*it, it->hosts[0]).empty());
    pool.stop();
}

} // namespace lycheegap::failure_tests
