#include <ctime>
#include <thread>

#include <doctest/doctest.h>
#include <unistd.h>

#include "core/common/last_reason.h"
#include "core/schema/codec.h"
#include "core/transport/http_client.h"
#include "core/transport/http_server.h"
#include "core/transport/listen_socket.h"
#include "core/transport/peer_link.h"
#include "core/transport/record_codec.h"

namespace lycheegap::transport {

namespace {

common::time_point default_deadline() {
    return common::monotonic::now() + common::milliseconds(5000);
}

} // namespace

TEST_CASE("records survive encoding, decoding and JSON") {
    schema::team_record_t team;
    team.name = "kite";
    team.rate = 2.5;
    team.key_digests = {"d"};
    const auto encoded = schema::encode<schema::team_record>(team);
    CHECK(schema::decode<schema::team_record>(encoded, "x")->rate == 2.5);
    const auto text = schema::to_json<schema::team_record>(team);
    CHECK(schema::from_json<schema::team_record>(text, "x")->key_digests == team.key_digests);
    CHECK_FALSE(schema::from_json<schema::team_record>("{\"colour\":1}", "x"));
    CHECK(common::last_reason().failed_step == common::step::decode);
    const schema::bytes broken(encoded.begin(), encoded.begin() + 12);
    CHECK_FALSE(schema::decode<schema::team_record>(broken, "x"));
}

TEST_CASE("a call returns the complete response and reuses the connection; a body over the limit gets 413") {
    auto server = start_http_server({"127.0.0.1", 0, 2, 64, 1024}, [](const http_request& request) {
        return http_response{200, {{"x-query", request.head.query}}, std::string(as_text(request.body))};
    });
    REQUIRE(server);
    connection_pool pool;
    const auto address = join_address("127.0.0.1", server->port());
    for (int n = 0; n < 3; ++n) {
        const http_call call{address, {"POST", "/p", "a=1", {}}, as_bytes("body"), default_deadline()};
        const auto result = call_http(pool, call);
        REQUIRE(result.response);
        CHECK(result.response->body == "body");
        CHECK(execution::find_header(result.response->headers, "x-query") == "a=1");
    }
    CHECK(pool.opened == 1);
    const std::string text(2000, 'x');
    const http_call large{address, {"POST", "/p", "", {}}, as_bytes(text), default_deadline()};
    CHECK(call_http(pool, large).response->status == 413);
}

TEST_CASE("a failed open_listener reports the address of a port in use") {
    const auto first = open_listener("127.0.0.1", 0);
    REQUIRE(first);
    CHECK_FALSE(open_listener("127.0.0.1", first->port));
    CHECK(common::last_reason().peer == join_address("127.0.0.1", first->port));
}

TEST_CASE("a call that cannot connect reports that nothing was sent") {
    const auto closed = open_listener("127.0.0.1", 0);
    const auto address = join_address("127.0.0.1", closed->port);
    close(closed->fd);
    connection_pool pool;
    const auto result = call_http(pool, {address, {"GET", "/", "", {}}, {}, default_deadline()});
    CHECK_FALSE(result.response);
    CHECK_FALSE(result.may_have_been_sent);
}

TEST_CASE("a peer link returns answers; a call without an answer fails at the deadline") {
    common::worker_pool pool(2);
    const auto echo = [](schema::byte_view message, const peer_responder& respond) {
        if (!message.empty()) {
            respond(schema::bytes(message.begin(), message.end()));
        }
    };
    auto server = start_peer_link({"127.0.0.1", 0, "s"}, pool, echo);
    auto client = start_peer_link({"127.0.0.1", 0, "s"}, pool, echo);
    REQUIRE(server);
    REQUIRE(client);
    const auto address = join_address("127.0.0.1", server->port());
    const schema::bytes large(300'000, std::byte{7});
    CHECK(client->call_and_wait(address, large, default_deadline()) == large);
    CHECK_FALSE(client->call_and_wait(address, {}, common::monotonic::now() + common::milliseconds(50)));
    CHECK(common::last_reason().text == "no answer before the deadline");
    CHECK(client->call_and_wait(address, large, default_deadline()) == large);
    server->stop();
    CHECK_FALSE(client->call_and_wait(address, large, default_deadline()));
    client->stop();
    pool.stop();
}

// Guards against an I/O loop that spins, for example because EPOLLOUT stays enabled on an idle socket.
TEST_CASE("an idle peer link uses no CPU time") {
    common::worker_pool pool(1);
    const auto echo = [](schema::byte_view message, const peer_responder& respond) {
        respond(schema::bytes(message.begin(), message.end()));
    };
    auto server = start_peer_link({"127.0.0.1", 0, "s"}, pool, echo);
    auto client = start_peer_link({"127.0.0.1", 0, "s"}, pool, echo);
    REQUIRE(server);
    REQUIRE(client);
    const auto address = join_address("127.0.0.1", server->port());
    REQUIRE(client->call_and_wait(address, schema::bytes(8), default_deadline()));
    const auto cpu_start = std::clock();
    std::this_thread::sleep_for(common::milliseconds(500));
    const double cpu_s = static_cast<double>(std::clock() - cpu_start) / CLOCKS_PER_SEC;
    CHECK(cpu_s < 0.1);
    client->stop();
    server->stop();
    pool.stop();
}

} // namespace lycheegap::transport
