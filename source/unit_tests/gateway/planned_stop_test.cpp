#include <array>
#include <thread>

#include <doctest/doctest.h>

#include "scripted_endpoint.h"
#include "test_host.h"

namespace lycheegap::gateway {

using common::milliseconds;

namespace {

/// A running gateway with one endpoint, which the test stops.
std::unique_ptr<running_gateway> start_host(const scripted_endpoint& endpoint) {
    auto running = start_gateway(options_with_long_stop());
    apply_configuration(*running->state, test_configuration());
    apply_endpoint(*running->state, entry_of(endpoint, "e1"));
    return running;
}

} // namespace

TEST_CASE("a planned stop cuts no answer that its caller reads slowly") {
    // More than the socket buffers of both sides hold.
    const std::string body(6U << 20U, 'b');
    scripted_endpoint endpoint([&](const auto&) { return scripted_reply{complete_response(body + "end")}; });
    const auto running = start_host(endpoint);
    std::string answer;
    std::thread caller([&] {
        // Begins to read when the listener is closed and the endpoint has long answered.
        answer = send_parts_and_read(
            running->state->options.request_address,
            std::array{patient_request_text("/order/1", "q1", "POST", 20'000), std::string()},
            milliseconds(3000), "bend");
    });
    while (endpoint.heads().empty()) {
        std::this_thread::sleep_for(milliseconds(1));
    }
    stop_gateway(*running);
    caller.join();
    CHECK(answer.starts_with("HTTP/1.1 200"));
    CHECK(answer.ends_with("bend"));
}

TEST_CASE("a planned stop answers a request of which a part was read when idle connections are closed") {
    scripted_endpoint endpoint([](const auto&) { return scripted_reply{complete_response("done")}; });
    const auto running = start_host(endpoint);
    const auto request = patient_request_text("/patient/1", "q1");
    std::string answer;
    std::thread caller([&] {
        // Idle connections are closed after a quarter of the stop, 1500 ms.
        answer = send_parts_and_read(running->state->options.request_address,
                                     std::array{request.substr(0, 20), request.substr(20)},
                                     milliseconds(1750), "done");
    });
    while (running->state->open_callers == 0) {
        std::this_thread::sleep_for(milliseconds(1));
    }
    stop_gateway(*running);
    caller.join();
    CHECK(answer.starts_with("HTTP/1.1 200"));
    CHECK(answer.find("Connection: close") != std::string::npos);
}

TEST_CASE("a planned stop waits for a body that is still arriving, with nothing else in flight") {
    // Answers after the time that the host takes to end once it is idle.
    scripted_endpoint endpoint(
        [](const auto&) { return scripted_reply{.bytes = complete_response("done"), .delay_ms = 500}; });
    const auto running = start_host(endpoint);
    const auto head = patient_request_text("/patient/1", "q1", "POST");
    const auto request = head.substr(0, head.size() - 2) + "Content-Length: 10\r\n\r\n";
    std::string answer;
    std::thread caller([&] {
        // The intake ends 2100 ms after the stop has begun.
        answer = send_parts_and_read(running->state->options.request_address,
                                     std::array<std::string, 3>{request, "12345", "67890"},
                                     milliseconds(1250), "done");
    });
    while (running->state->open_callers == 0) {
        std::this_thread::sleep_for(milliseconds(1));
    }
    stop_gateway(*running);
    caller.join();
    CHECK(endpoint.heads().size() == 1);
    CHECK(answer.starts_with("HTTP/1.1 200"));
    CHECK(answer.ends_with("done"));
}

} // namespace lycheegap::gateway
