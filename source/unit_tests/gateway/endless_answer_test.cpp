#include <algorithm>
#include <iterator>
#include <thread>

#include <doctest/doctest.h>

#include "scripted_endpoint.h"
#include "test_host.h"

namespace lycheegap::gateway {

using common::milliseconds;

namespace {

constexpr std::int64_t body_memory = 1 << 20;
// With the memory of its request, short of the limit by less than the answer of the other caller.
constexpr std::int64_t unfinished_bytes = body_memory - 65536;

gateway_options options_with_little_memory() {
    auto made = test_options();
    made.call_memory_bytes = body_memory;
    return made;
}

/// Whether the memory of all calls is released; it may be held for a moment after the caller has the answer.
bool releases_memory(const test_host& host) {
    const auto& memory = host.running->state->call_memory;
    const auto due = common::monotonic::now() + milliseconds(2000);
    while ((memory.used != 0 || memory.holders != 0) && common::monotonic::now() < due) {
        std::this_thread::yield();
    }
    return memory.used == 0 && memory.holders == 0;
}

} // namespace

TEST_CASE("an answer without end costs its caller a 502 and the host a bounded memory") {
    auto replies = endless_replies();
    std::ranges::copy(endless_chunk_extensions(), std::back_inserter(replies));
    for (const auto& it : replies) {
        CAPTURE(it.bytes);
        CAPTURE(it.endless.substr(0, 40));
        scripted_endpoint endpoint([&](const auto&) { return it; });
        const test_host host(options_with_little_memory());
        host.use(endpoint);
        const auto answer =
            send_and_read(host.address(), request_text("/book/1", "q1", "", "POST"), "}", 15'000);
        CHECK((answer.starts_with("HTTP/1.1 502") || answer.starts_with("HTTP/1.1 504")));
        CHECK(releases_memory(host));
        CHECK(endpoint.bytes_sent < max_socket_buffers);
    }
}

TEST_CASE("bytes without end after a whole answer on a kept connection reach no other caller") {
    scripted_endpoint endpoint([](const auto&) {
        return scripted_reply{complete_response("whole"), false, false, 0, std::string(65536, 'a')};
    });
    const test_host host(options_with_little_memory());
    host.use(endpoint);
    for (int n = 0; n < 3; ++n) {
        const auto answer = send_and_read(host.address(), request_text("/read/1", "q1"), "whole");
        CHECK(answer.starts_with("HTTP/1.1 200"));
        CHECK(answer.ends_with("whole"));
    }
    CHECK(endpoint.connections == 3);
    CHECK(releases_memory(host));
}

TEST_CASE("one body that takes the whole memory does not end the answers of other callers") {
    // Its body stops short of the limit and stays unfinished.
    scripted_endpoint large([](const auto&) {
        return scripted_reply{"HTTP/1.1 200 OK\r\nx-id: @ID@\r\nContent-Length: 9999999\r\n\r\n" +
                              std::string(unfinished_bytes, 'a')};
    });
    scripted_endpoint good(
        [](const auto&) { return scripted_reply{complete_response(std::string(100'000, 'b'))}; });
    const test_host host(options_with_little_memory());
    host.use(large, "e1");
    std::thread caller(
        [&] { send_and_read(host.address(), patient_request_text("/order/1", "q1", "POST", 3000), "}"); });
    const auto due = common::monotonic::now() + milliseconds(2000);
    while (host.running->state->call_memory.used < unfinished_bytes && common::monotonic::now() < due) {
        std::this_thread::yield();
    }
    CHECK(host.running->state->call_memory.used >= unfinished_bytes);
    drop_endpoint(*host.running->state, "e1", std::nullopt);
    host.use(good, "e2");
    const auto answer =
        send_and_read(host.address(), request_text("/read/1", "q2"), std::string(100'000, 'b'));
    CHECK(answer.starts_with("HTTP/1.1 200"));
    caller.join();
    CHECK(releases_memory(host));
}

} // namespace lycheegap::gateway
