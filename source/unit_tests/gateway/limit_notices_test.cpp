#include "core/gateway/limit_notices.h"

#include <cmath>

#include <doctest/doctest.h>

#include "core/gateway/message_headers.h"
#include "core/traffic/load_sharing.h"

#include "test_host.h"

namespace lycheegap::gateway {

namespace {

traffic::endpoint_entry entry_with_id(const std::string& id) {
    traffic::endpoint_entry made;
    made.id = id;
    made.service = "desk";
    made.address = "127.0.0.1:1";
    made.started_unix_ms = 1;
    return made;
}

std::unique_ptr<gateway_state> host_with_endpoint() {
    gateway_options options;
    options.host = "here";
    options.headers = test_options().headers;
    auto state = std::make_unique<gateway_state>(std::move(options));
    apply_endpoint(*state, entry_with_id("e1"));
    return state;
}

const traffic::endpoint_ptr& endpoint_of(gateway_state& state) {
    return state.endpoints.set.by_id.at("e1");
}

http::response_header<> head_of(unsigned int status, const std::string& limit) {
    http::response_header<> head;
    head.result(status);
    if (!limit.empty()) {
        head.set("x-limit", limit);
    }
    return head;
}

void receive_notice(gateway_state& state, double per_second, std::uint32_t age) {
    schema::limit_notice_t notice;
    notice.host = "there";
    notice.limits.emplace_back(traffic::load_key(entry_with_id("e1")), per_second, age);
    handle_limit_notice(state, notice);
}

} // namespace

TEST_CASE("a limit is a decimal number") {
    CHECK(parse_endpoint_limit("2.5") == 2.5);
    CHECK(parse_endpoint_limit(" 40 ") == 40);
    CHECK(parse_endpoint_limit("0") == traffic::min_endpoint_limit);
    CHECK(parse_endpoint_limit("0.0000001") == traffic::min_endpoint_limit);
    CHECK(parse_endpoint_limit("1" + std::string(400, '0')) == traffic::max_endpoint_limit);
    for (const auto* text :
         {"", " ", ".", "-1", "+1", "nan", "inf", "1e300", "0x10", "2.5.1", "2,5", "2 5", "two"}) {
        CAPTURE(text);
        CHECK_FALSE(parse_endpoint_limit(text).has_value());
    }
}

TEST_CASE("the last answer of the endpoint decides whether it has a limit") {
    const auto state = host_with_endpoint();
    const auto& endpoint = endpoint_of(*state);
    note_limit_in_head(*state, endpoint, head_of(200, "2.5"));
    CHECK(endpoint->limit.per_second == 2.5);
    note_limit_in_head(*state, endpoint, head_of(503, "4"));
    CHECK(endpoint->limit.per_second == 4);
    // None of these says that the limit has ended.
    note_limit_in_head(*state, endpoint, head_of(100, ""));
    note_limit_in_head(*state, endpoint, head_of(421, ""));
    note_limit_in_head(*state, endpoint, head_of(500, ""));
    note_limit_in_head(*state, endpoint, head_of(200, "soon"));
    auto turned_away = head_of(429, "");
    turned_away.set(state->options.headers.not_run, "1");
    note_limit_in_head(*state, endpoint, turned_away);
    CHECK(endpoint->limit.per_second == 4);
    note_limit_in_head(*state, endpoint, head_of(200, ""));
    CHECK_FALSE(endpoint->limit.per_second.has_value());
}

TEST_CASE("an answer of another endpoint at the address names no limit") {
    const auto state = host_with_endpoint();
    note_limit_in_head(*state, endpoint_of(*state), head_of(421, "2.5"));
    CHECK_FALSE(endpoint_of(*state)->limit.per_second.has_value());
}

TEST_CASE("a host learns limits from notices of others, and their ends") {
    const auto state = host_with_endpoint();
    receive_notice(*state, 2.5, 3000);
    CHECK(endpoint_of(*state)->limit.per_second == 2.5);
    CHECK(endpoint_of(*state)->limit.is_news);
    receive_notice(*state, -1, 0);
    CHECK_FALSE(endpoint_of(*state)->limit.per_second.has_value());
}

// Guards against limits of notices that are no numbers, or larger than shares can be computed from.
TEST_CASE("a notice with an impossible limit sets no limit beyond the bounds") {
    for (const double per_second : {std::nan(""), HUGE_VAL, -HUGE_VAL, 1e300, -0.0, 0.0}) {
        CAPTURE(per_second);
        const auto state = host_with_endpoint();
        receive_notice(*state, per_second, 0xffffffffU);
        const auto known = endpoint_of(*state)->limit.per_second;
        CHECK((!known || (*known >= traffic::min_endpoint_limit && *known <= traffic::max_endpoint_limit)));
    }
}

} // namespace lycheegap::gateway
