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

header key_header_of(const std::string& team) {
    return {std::string(execution::key_header), "key-of-" + team};
}

int status_of(const std::optional<transport::http_response>& response) {
    return response ? response->status : 0;
}

std::string fetch_record(fleet& it, const endpoint_process& endpoint) {
    const auto response = send_test_request(it, endpoint.address, "GET", "/record");
    return response ? response->body : std::string();
}

} // namespace

TEST_CASE("end to end: valid key, open route, wrong key, exceeded rate, withdrawn key") {
    const auto it = start_fleet({});
    REQUIRE(it);
    REQUIRE(create_teams(*it, {"kite", "slow"}, 50, 10));
    const auto& host = it->hosts[1];

    const auto is_admitted = [&] {
        return status_of(send_test_request(*it, host.request_address, "GET", "/forecast/a",
                                           {key_header_of("kite")})) == 200;
    };
    CHECK(wait_until(common::milliseconds(5000), is_admitted));
    CHECK(status_of(send_test_request(*it, host.request_address, "GET", "/public/a")) == 200);
    CHECK(status_of(send_test_request(*it, host.request_address, "GET", "/forecast/a")) == 401);
    CHECK(status_of(send_test_request(*it, host.request_address, "GET", "/forecast/a",
                                      {{"x-team-key", "wrong"}})) == 401);
    CHECK(status_of(send_test_request(*it, host.request_address, "GET", "/nowhere",
                                      {key_header_of("kite")})) == 404);

    int over_rate = 0;
    for (int n = 0; n < 60; ++n) {
        const auto response =
            send_test_request(*it, host.request_address, "GET", "/forecast/b", {key_header_of("slow")});
        over_rate += status_of(response) == 429 ? 1 : 0;
    }
    CHECK(over_rate > 0);

    const auto withdrawal =
        R"({"key_team":"kite","withdraw_key_digest":")" + common::key_digest("key-of-kite") + "\"}";
    CHECK(post_edit(*it, it->hosts[2], withdrawal).find("\"revision\"") != std::string::npos);
    const auto is_key_refused = [&] {
        return status_of(send_test_request(*it, host.request_address, "GET", "/forecast/a",
                                           {key_header_of("kite")})) == 401;
    };
    CHECK(wait_until(common::milliseconds(3000), is_key_refused));

    for (const auto& endpoint : it->endpoints) {
        CHECK(fetch_record(*it, endpoint).find("keys_seen=0") != std::string::npos);
    }
}

TEST_CASE("operators without the secret are refused") {
    fleet_options options;
    options.hosts = 1;
    options.endpoints = 0;
    const auto it = start_fleet(options);
    REQUIRE(it);
    CHECK(status_of(send_test_request(*it, it->hosts[0].operator_address, "GET", "/v1/dump")) == 401);
    CHECK(status_of(send_test_request(*it, it->hosts[0].operator_address, "GET", "/v1/dump",
                                      {{"authorization", "wrong"}})) == 401);
    const auto dump = fetch_dump(*it, it->hosts[0]);
    CHECK(dump.find("\"self\"") != std::string::npos);
    CHECK(dump.find(operator_secret) == std::string::npos);
    CHECK(dump.find(peer_secret) == std::string::npos);
    CHECK(read_log(it->hosts[0].process).find(operator_secret) == std::string::npos);
}

TEST_CASE("a body over the limit is refused and not run") {
    const auto it = start_fleet({1, 1, {"vestkyst-1"}, "[callers]\nbody_limit = 1024\n", false});
    REQUIRE(it);
    REQUIRE(create_teams(*it, {"kite"}, 1000, 100));
    const auto& host = it->hosts[0];
    const std::string body(2000, 'x');
    const auto response =
        send_test_request(*it, host.request_address, "POST", "/bookings", {key_header_of("kite")}, body);
    CHECK(status_of(response) == 413);
    CHECK(response->body.find("not_run") != std::string::npos);
    CHECK(fetch_record(*it, it->endpoints[0]).find("/bookings") == std::string::npos);
}

TEST_CASE("a cut link passes nothing until it is restored") {
    fleet_options options;
    options.use_link_stand_in = true;
    const auto it = start_fleet(options);
    REQUIRE(it);
    const auto has_heard_all_peers = [&] {
        const auto dump = fetch_dump(*it, it->hosts[0]);
        return dump.find("heard_ms_ago") != dump.rfind("heard_ms_ago");
    };
    REQUIRE(wait_until(common::milliseconds(6000), has_heard_all_peers));
    isolate_host(*it, 0, true);
    const auto is_link_silent = [&] {
        const auto dump = fetch_dump(*it, it->hosts[0]);
        const auto field_start = dump.find("\"heard_ms_ago\": ");
        return field_start != std::string::npos && std::atoi(dump.c_str() + field_start + 16) > 1500;
    };
    CHECK(wait_until(common::milliseconds(6000), is_link_silent));
    isolate_host(*it, 0, false);
    CHECK(wait_until(common::milliseconds(6000), [&] { return !is_link_silent(); }));
}

} // namespace lycheegap::failure_tests

namespace lycheegap::failure_tests {

namespace {

/// Exit status and log of a lycheegapd run that ended by itself.
struct start_result {
    int status{0};
    std::string log;
};

/// Runs lycheegapd with `text` as its settings file until it ends.
start_result start_with_settings(const fleet& it, const std::string& settings_option,
                                 const std::string& text) {
    const auto file = it.folder + "/bad.ini";
    const auto log = it.folder + "/bad.log";
    std::filesystem::remove(log);
    std::ofstream(file) << text;
    const std::vector<std::string> arguments = {settings_option, file};
    auto child = start_child("lycheegapd", arguments, log);
    const int status = wait_for_end(child);
    return {status, read_log(child)};
}

constexpr std::string_view valid_settings =
    "[host]\nname = h\naddress = 127.0.0.1\nregion = r\nfailure_domain = r-1\n"
    "[operators]\nsecret = a\n[peers]\nsecret = b\n[store]\n"
    "address = 127.0.0.1:1\n";

} // namespace

TEST_CASE("invalid settings and a port in use stop the start with a reason") {
    fleet_options options;
    options.hosts = 1;
    options.endpoints = 0;
    const auto it = start_fleet(options);
    REQUIRE(it);
    const std::string valid(valid_settings);
    CHECK(start_with_settings(*it, "--check-settings", valid).status == 0);

    const auto unknown_key =
        start_with_settings(*it, "--check-settings", valid + "[callers]\nlookup_prot = 1\n");
    CHECK(unknown_key.status == 1);
    CHECK(unknown_key.log.find("bad.ini: [callers] lookup_prot") != std::string::npos);

    const auto out_of_range =
        start_with_settings(*it, "--settings", valid + "[callers]\nlookup_port = 65536\n");
    CHECK(out_of_range.status == 1);
    CHECK(out_of_range.log.find("bad.ini: [callers] lookup_port': 65536 is outside 0 to 65535") !=
          std::string::npos);

    const auto& used_address = it->hosts[0].lookup_address;
    const auto colon = used_address.find(':');
    auto settings_with_used_port =
        valid + "[callers]\nlookup_port = " + used_address.substr(colon + 1) + "\n";
    settings_with_used_port.replace(settings_with_used_port.find("127.0.0.1"), 9,
                                    used_address.substr(0, colon));
    const auto port_in_use = start_with_settings(*it, "--settings", settings_with_used_port);
    CHECK(port_in_use.status == 1);
    CHECK(port_in_use.log.find("step listen at '" + used_address + "': Address already in use") !=
          std::string::npos);
}

TEST_CASE("a malformed template is refused with a reason and nothing changes") {
    fleet_options options;
    options.hosts = 1;
    options.endpoints = 1;
    const auto it = start_fleet(options);
    REQUIRE(it);
    REQUIRE(create_teams(*it, {"kite"}, 50, 10));
    const auto& host = it->hosts[0];
    CHECK(post_edit(*it, host, R"({"set_template":{"name":"x","colour":1}})").find("unknown field") !=
          std::string::npos);
    CHECK(post_edit(*it, host, "{").find("invalid") != std::string::npos);
    const auto unknown_service =
        R"({"set_template":{"name":"x","routes":[{"method":"GET","path_prefix":"/","service":"s"}]}})";
    CHECK(post_edit(*it, host, unknown_service).find("service 's' does not exist") != std::string::npos);
    CHECK(
        post_edit(*it, host, R"({"withdraw_template":"school"})").find("template 'school' does not exist") !=
        std::string::npos);
    CHECK(fetch_dump(*it, host).find("\"catalog_revision\": 3") != std::string::npos);
}

TEST_CASE("a malformed peer message and a wrong peer secret do not disturb a host") {
    fleet_options options;
    options.hosts = 1;
    options.endpoints = 0;
    const auto it = start_fleet(options);
    REQUIRE(it);
    const auto peer = wait_for_field(it->hosts[0].process, "ready", "peer",
                                     common::monotonic::now() + common::milliseconds(1000));
    common::worker_pool pool(1);
    const auto ignore_message = [](schema::byte_view, const transport::peer_responder&) {};

    auto unauthenticated = transport::start_peer_link({"127.0.0.1", 0, "wrong"}, pool, ignore_message);
    REQUIRE(unauthenticated);
    const auto call_deadline = [] { return common::monotonic::now() + common::milliseconds(2000); };
    CHECK(!unauthenticated->call_and_wait(peer, schema::bytes(10), call_deadline()));
    CHECK(common::last_reason().failed_step == common::step::authenticate);
    CHECK(common::last_reason().peer == peer);

    auto member =
        transport::start_peer_link({"127.0.0.1", 0, std::string(peer_secret)}, pool, ignore_message);
    REQUIRE(member);
    const auto response = member->call_and_wait(peer, schema::bytes(10, std::byte{0xff}), call_deadline());
    REQUIRE(response);
    const auto decoded = schema::decode<schema::peer_message>(*response, peer);
    REQUIRE(decoded);
    REQUIRE(decoded->body.Aspeer_refusal() != nullptr);
    CHECK(decoded->body.Aspeer_refusal()->step == "decode");

    // Bytes that are not HTTP/2 close only their own connection.
    CHECK(!send_test_request(*it, peer, "GET", "/"));
    CHECK(!fetch_dump(*it, it->hosts[0]).empty());
    pool.stop();
}

} // namespace lycheegap::failure_tests
