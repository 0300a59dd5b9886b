#include "test_host.h"

#include <fmt/format.h>

#include "core/common/digest.h"

namespace lycheegap::gateway {

namespace {

using common::milliseconds;

traffic::route make_route(std::string prefix, bool idempotent) {
    traffic::route made;
    made.name = prefix;
    made.host = "a.example";
    made.prefix = std::move(prefix);
    made.idempotent = idempotent;
    made.has_affinity = true;
    made.timeout = milliseconds(1200);
    made.target_latency = milliseconds(400);
    made.attempt_limit = 2;
    made.parts = {{"desk", 1}};
    return made;
}

} // namespace

gateway_options test_options() {
    gateway_options made;
    made.host = "host-1";
    made.region = "coast";
    made.domain = "coast-1";
    made.request_address = "127.0.0.1:0";
    made.headers = {"x-id",   "x-wait",    "object",    "x-team", "x-target",
                    "x-load", "x-not-run", "x-leaving", "x-limit"};
    made.retries = {.ratio = 0.2, .slack = 100};
    made.stop_time = milliseconds(1500);
    return made;
}

std::shared_ptr<traffic::configuration> test_configuration() {
    auto made = std::make_shared<traffic::configuration>();
    made->version = 1;
    made->routes = {make_route("/read/", true), make_route("/book/", false),   make_route("/quick/", true),
                    make_route("/pay/", false), make_route("/patient/", true), make_route("/order/", false)};
    made->routes[2].target_latency = milliseconds(150);
    made->routes[3].target_latency = milliseconds(150);
    made->routes[4].target_latency = milliseconds(150);
    made->routes[4].timeout = milliseconds(5000);
    made->routes[5].target_latency = milliseconds(1000);
    made->routes[5].timeout = milliseconds(20'000);
    made->teams = {{"kite", 1, 0, 0, {}}};
    made->team_of_key.emplace(common::key_digest("k1"), 0);
    return made;
}

traffic::endpoint_entry entry_of(const scripted_endpoint& endpoint, std::string id) {
    traffic::endpoint_entry made;
    made.id = std::move(id);
    made.service = "desk";
    made.address = endpoint.address();
    made.region = "coast";
    made.domain = "coast-1";
    made.slots = 6;
    return made;
}

test_host::test_host(const gateway_options& options) : running(start_gateway(options)) {
    apply_configuration(*running->state, test_configuration());
    traffic::fleet_member own;
    own.name = options.host;
    apply_member(*running->state, own);
}

test_host::~test_host() {
    stop_gateway(*running);
}

void test_host::use(const scripted_endpoint& endpoint, const std::string& id) const {
    apply_endpoint(*running->state, entry_of(endpoint, id));
}

std::string test_host::address() const {
    return running->state->options.request_address;
}

std::string request_text(const std::string& path, const std::string& id, const std::string& more,
                         const std::string& method) {
    return fmt::format(
        "{} {} HTTP/1.1\r\nHost: a.example\r\nx-id: {}\r\nx-wait: 1000\r\nAuthorization: Bearer k1\r\n"
        "x-team: forged\r\n{}\r\n",
        method, path, id, more);
}

std::string patient_request_text(const std::string& path, const std::string& id, const std::string& method,
                                 int wait_ms) {
    return fmt::format("{} {} HTTP/1.1\r\nHost: a.example\r\nx-id: {}\r\nx-wait: {}\r\n"
                       "Authorization: Bearer k1\r\n\r\n",
                       method, path, id, wait_ms);
}

gateway_options options_with_long_stop() {
    auto made = test_options();
    made.stop_time = milliseconds(6000);
    return made;
}

} // namespace lycheegap::gateway
