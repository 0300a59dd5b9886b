#include "core/gateway/load_exchange.h"

#include <doctest/doctest.h>

#include "core/schema/peer_codec.h"
#include "core/traffic/load_sharing.h"

namespace lycheegap::gateway {

namespace {

using common::monotonic;

// 12 KB/s of control traffic a host, of which load reports take at most two thirds: a host begins four
// exchanges in each interval of half a second and is asked for about as many.
constexpr std::size_t exchanges_per_second = 16;
constexpr std::size_t max_bytes_per_second = 8000;

traffic::endpoint_entry make_entry(int n) {
    traffic::endpoint_entry made;
    made.id = "e" + std::to_string(n);
    made.service = "quotes";
    made.address = "127.0.0.1:" + std::to_string(n + 1);
    made.slots = 9;
    return made;
}

std::unique_ptr<gateway_state> make_state(const std::string& host) {
    gateway_options options;
    options.host = host;
    auto state = std::make_unique<gateway_state>(options);
    for (const auto* name : {"host-1", "host-2"}) {
        traffic::fleet_member member;
        member.name = name;
        member.peer_address = member.name + ":1";
        apply_member(*state, member);
    }
    for (int n = 0; n < 40; ++n) {
        apply_endpoint(*state, make_entry(n));
    }
    return state;
}

schema::load_exchange_answer_t answer_of(gateway_state& state, const schema::load_exchange_t& sent) {
    const auto read = schema::decode<schema::peer_message>(handle_load_exchange(state, sent), "peer");
    REQUIRE((read && read->body.Asload_exchange_answer() != nullptr));
    return *read->body.Asload_exchange_answer();
}

} // namespace

TEST_CASE("an exchange applies the sender's reports and answers with the receiver's own ones, each once") {
    const auto state = make_state("host-1");
    const auto now = monotonic::now();
    keep_load_report(*state, make_entry(3), {.running = 5, .waiting = 2}, now);
    schema::load_exchange_t sent;
    sent.host = "host-2";
    sent.loads = {{traffic::load_key(make_entry(7)), 9, 4, 10, 0}};
    const auto answer = answer_of(*state, sent);
    REQUIRE(answer.loads.size() == 1);
    CHECK(answer.loads[0].endpoint() == traffic::load_key(make_entry(3)));
    CHECK(answer.loads[0].running() == 5);
    CHECK(traffic::estimated_load(*state->endpoints.set.by_id.at("e7"), monotonic::now()) > 10);
    CHECK(answer_of(*state, sent).loads.empty());
}

TEST_CASE("a host that is no member gets no reports, and its own are not applied") {
    const auto state = make_state("host-1");
    keep_load_report(*state, make_entry(3), {.running = 5, .waiting = 2}, monotonic::now());
    schema::load_exchange_t sent;
    sent.host = "stranger";
    sent.loads = {{traffic::load_key(make_entry(7)), 9, 4, 10, 0}};
    CHECK(answer_of(*state, sent).loads.empty());
    CHECK(!state->endpoints.set.by_id.at("e7")->external);
    CHECK(state->loads.sent_until.empty());
}

TEST_CASE("full messages of all exchanges stay within the control traffic of a host") {
    schema::load_exchange_t sent;
    sent.host = "front-of-a-long-domain-name-12";
    for (std::size_t n = 0; n < traffic::max_loads_per_message; ++n) {
        sent.loads.emplace_back(traffic::load_key(make_entry(static_cast<int>(n))), 9, 27, 500, 100);
    }
    // Frames and headers of an HTTP/2 stream on an open connection.
    constexpr std::size_t framing_bytes = 100;
    const auto bytes = schema::encode_peer(sent).size() + framing_bytes;
    MESSAGE("bytes of a full message: " << bytes);
    CHECK(bytes * exchanges_per_second < max_bytes_per_second);
}

TEST_CASE("a host that has just started gets all recent reports") {
    const auto state = make_state("host-1");
    for (int n = 0; n < 40; ++n) {
        keep_load_report(*state, make_entry(n), {.running = n % 9}, monotonic::now());
    }
    schema::load_exchange_t sent;
    sent.host = "host-2";
    sent.all = true;
    CHECK(answer_of(*state, sent).loads.size() == 40);
}

} // namespace lycheegap::gateway
