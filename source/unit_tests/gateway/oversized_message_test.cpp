#include <algorithm>
#include <mutex>
#include <thread>

#include <doctest/doctest.h>
#include <fmt/format.h>

#include "scripted_endpoint.h"
#include "test_host.h"

namespace lycheegap::gateway {

using common::milliseconds;

namespace {

// A header field of this size is more than the HTTP library holds in a message.
constexpr std::size_t oversized_field_bytes = 70'000;

std::string oversized_field() {
    return "x-more: " + std::string(oversized_field_bytes, 'a') + "\r\n";
}

/// Responses with a field that does not fit, in the trailers and in the head, and with one of several fields
/// that do not fit together.
std::vector<std::string> oversized_responses() {
    const std::string chunked =
        "HTTP/1.1 200 OK\r\nx-id: @ID@\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\n";
    std::string many;
    for (int n = 0; n < 70; ++n) {
        many += fmt::format("x-{}: {}\r\n", n, std::string(1000, 'a'));
    }
    return {chunked + oversized_field() + "\r\n",
            chunked + std::string(oversized_field_bytes, 'n') + ": a\r\n\r\n",
            "HTTP/1.1 200 OK\r\nx-id: @ID@\r\n" + oversized_field() + "\r\n",
            "HTTP/1.1 200 OK\r\nx-id: @ID@\r\n" + many + "\r\n"};
}

/// Whether all of a request is released within two seconds: its memory, and its count here and at endpoints.
/// When the caller closes its connection afterwards, the host may use memory for the next head once more.
bool comes_to_rest(const test_host& host) {
    auto& state = *host.running->state;
    const auto due = common::monotonic::now() + milliseconds(2000);
    while (common::monotonic::now() < due) {
        {
            const std::lock_guard guard(state.endpoints.mutex);
            const auto& all = state.endpoints.set.by_id;
            if (state.call_memory.used == 0 && state.requests_in_flight == 0 &&
                std::all_of(all.begin(), all.end(),
                            [](const auto& it) { return it.second->in_flight == 0; })) {
                return true;
            }
        }
        std::this_thread::sleep_for(milliseconds(1));
    }
    return false;
}

} // namespace

// Guards against a host that ends because one endpoint's answer does not fit into a message of the HTTP
// library.
TEST_CASE("a response with a field too large for a message ends its request alone") {
    for (const auto& bytes : oversized_responses()) {
        CAPTURE(bytes.substr(0, 100));
        scripted_endpoint faulty([&](const auto&) { return scripted_reply{bytes}; });
        scripted_endpoint sound(
            [](const auto&) { return scripted_reply{.bytes = complete_response("whole"), .delay_ms = 300}; });
        const test_host host;
        host.use(sound, "sound");
        std::string answer;
        std::thread other([&] {
            answer = send_and_read(host.address(), request_text("/book/2", "q2", "", "POST"), "whole");
        });
        while (sound.heads().empty()) {
            std::this_thread::sleep_for(milliseconds(1));
        }
        drop_endpoint(*host.running->state, "sound", std::nullopt);
        host.use(faulty, "faulty");
        const auto refused =
            send_and_read(host.address(), request_text("/book/1", "q1", "", "POST"), "}", 15'000);
        other.join();
        CHECK(refused.starts_with("HTTP/1.1 502"));
        CHECK(refused.find("\"unknown\"") != std::string::npos);
        CHECK(answer.starts_with("HTTP/1.1 200"));
        CHECK(comes_to_rest(host));
    }
}

// Guards against a caller whose oversized field leaves its connection open without an answer or a refusal.
TEST_CASE(
    "a request with a field too large for a message is refused, also under a larger limit of the head") {
    scripted_endpoint endpoint([](const auto&) { return scripted_reply{complete_response("whole")}; });
    const test_host host;
    host.use(endpoint);
    auto config = *test_configuration();
    config.version = 2;
    config.limits.head_bytes = 1U << 20U;
    apply_configuration(*host.running->state, std::make_shared<const traffic::configuration>(config));
    const auto chunked = request_text("/book/1", "q2", "Transfer-Encoding: chunked\r\n", "POST");
    for (const auto& request : {request_text("/read/1", "q1", oversized_field()),
                                chunked + "4\r\nbody\r\n0\r\n" + oversized_field() + "\r\n"}) {
        const auto answer = send_and_read(host.address(), request, "}");
        CHECK(answer.starts_with("HTTP/1.1 431"));
        CHECK(comes_to_rest(host));
    }
    CHECK(endpoint.heads().empty());
    const auto answer = send_and_read(host.address(), request_text("/read/1", "q3"), "whole");
    CHECK(answer.starts_with("HTTP/1.1 200"));
}

// Guards against a request that is neither answered nor refused because the host can't build the message for
// it.
TEST_CASE("a request that cannot be passed on for an error of the host is refused as not run") {
    scripted_endpoint endpoint([](const auto&) { return scripted_reply{complete_response("whole")}; });
    const test_host host;
    host.use(endpoint, std::string(oversized_field_bytes, 'e'));
    const auto answer = send_and_read(host.address(), request_text("/book/1", "q1", "", "POST"), "}");
    CHECK(answer.starts_with("HTTP/1.1 503"));
    CHECK(answer.find("\"not_run\"") != std::string::npos);
    CHECK(comes_to_rest(host));
}

} // namespace lycheegap::gateway
