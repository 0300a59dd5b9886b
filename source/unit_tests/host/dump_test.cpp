#include "core/host/dump.h"

#include <sstream>

#include <boost/property_tree/json_parser.hpp>
#include <boost/property_tree/ptree.hpp>
#include <doctest/doctest.h>
#include <fmt/format.h>

#include "core/common/digest.h"
#include "core/host/host_state.h"
#include "core/host/operator_api.h"
#include "core/host/serve_request.h"
#include "core/schema/codec.h"

namespace lycheegap::host {

namespace {

constexpr std::string_view secret = "operators-secret-7f";
constexpr std::string_view peer_secret = "peers-secret-9a";
constexpr std::string_view key = "surf-school-key-31";

/// A host whose store gives no answer.
std::unique_ptr<host_state> start_host_without_store() {
    const auto text = fmt::format("[host]\nname = host-1\naddress = 127.0.0.1\nregion = vestkyst\n"
                                  "failure_domain = vestkyst-1\n[callers]\ndrain_time = "
                                  "0\n[operators]\nsecret = {}\n[peers]\nsecret = {}\n"
                                  "[store]\naddress = 127.0.0.1:1\n[process]\nlog_level = error\n",
                                  secret, peer_secret);
    auto parsed = settings::parse_settings(text, "lonely.ini");
    return parsed ? start_host(std::move(*parsed)) : nullptr;
}

transport::http_response ask_operator(host_state& host, const std::string& path) {
    return serve_operator(host,
                          {{"GET", path, "", {{"authorization", std::string(secret)}}}, {}, "127.0.0.1"});
}

} // namespace

TEST_CASE("a dump is valid JSON and shows neither keys nor secrets") {
    const auto host = start_host_without_store();
    REQUIRE(host);
    const auto path = std::string("/forecast?\"\\\x01");
    serve_request(*host, {{"GET", path, "", {{"x-team-key", std::string(key)}}}, {}, "127.0.0.1"});
    const auto dump = ask_operator(*host, "/v1/dump");
    const auto metrics = ask_operator(*host, "/metrics");
    CHECK(dump.status == 200);
    boost::property_tree::ptree parsed;
    std::istringstream stream(dump.body);
    CHECK_NOTHROW(boost::property_tree::read_json(stream, parsed));
    CHECK(parsed.get<std::string>("self.name") == "host-1");
    CHECK(metrics.body.find("lycheegap_refused_key 1") != std::string::npos);
    for (const auto& body : {dump.body, metrics.body}) {
        for (const auto hidden : {secret, peer_secret, key}) {
            CHECK(body.find(hidden) == std::string::npos);
        }
        CHECK(body.find(common::key_digest(key)) == std::string::npos);
    }
    stop_host(*host);
}

} // namespace lycheegap::host
