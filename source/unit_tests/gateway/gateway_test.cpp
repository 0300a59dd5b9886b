#include "core/gateway/gateway.h"

#include <atomic>
#include <thread>

#include <fmt/format.h>

#include <doctest/doctest.h>

#include "scripted_endpoint.h"
#include "test_host.h"

namespace lycheegap::gateway {

using common::milliseconds;

TEST_CASE("a request is forwarded with its team and target, without the caller's key or a forged team") {
    scripted_endpoint endpoint([](const auto&) { return scripted_reply{complete_response("waves")}; });
    const test_host host;
    host.use(endpoint);
    const auto answer =
        send_and_read(host.address(), request_text("/read/1?a=b", "q1", "Cookie: object=7\r\n"), "waves");
    CHECK(answer.starts_with("HTTP/1.1 200"));
    CHECK(answer.find("x-id: q1") != std::string::npos);
    REQUIRE(endpoint.heads().size() == 1);
    const auto head = endpoint.heads()[0];
    CHECK(head.starts_with("GET /read/1?a=b HTTP/1.1\r\n"));
    CHECK(head.find("k1") == std::string::npos);
    CHECK(head.find("x-team: kite") != std::string::npos);
    CHECK(head.find("forged") == std::string::npos);
    CHECK(head.find("x-target: e1") != std::string::npos);
    CHECK(head.find("Cookie: object=7") != std::string::npos);
}

TEST_CASE(
    "unknown keys, unknown routes, malformed requests and a missing configuration get different statuses") {
    scripted_endpoint endpoint([](const auto&) { return scripted_reply{complete_response("x")}; });
    const test_host host;
    host.use(endpoint);
    CHECK(send_and_read(host.address(), "GET /read/ HTTP/1.1\r\nHost: a.example\r\n\r\n", "}")
              .starts_with("HTTP/1.1 401"));
    CHECK(send_and_read(host.address(), request_text("/none/", "q"), "}").starts_with("HTTP/1.1 404"));
    CHECK(send_and_read(host.address(), "nonsense\r\n\r\n", "}").starts_with("HTTP/1.1 400"));
    const auto unconfigured = start_gateway(test_options());
    const auto early =
        send_and_read(unconfigured->state->options.request_address, request_text("/read/", "q"), "}");
    CHECK(early.starts_with("HTTP/1.1 503"));
    CHECK(early.find("Retry-After") != std::string::npos);
    stop_gateway(*unconfigured);
    CHECK(endpoint.heads().empty());
}

TEST_CASE("pipelined requests run concurrently and are answered in order") {
    scripted_endpoint endpoint([](const std::string& head) {
        const bool first = head.find("x-id: q1") != std::string::npos;
        return scripted_reply{complete_response(first ? "slow" : "fast"), false, false, first ? 300 : 0};
    });
    const test_host host;
    host.use(endpoint);
    const auto before = common::monotonic::now();
    const auto answer =
        send_and_read(host.address(), request_text("/read/1", "q1") + request_text("/read/2", "q2"), "fast");
    CHECK(answer.find("slow") < answer.find("fast"));
    CHECK(answer.find("fast") != std::string::npos);
    CHECK(common::monotonic::now() - before < milliseconds(900));
    CHECK(endpoint.connections == 2);
}

TEST_CASE(
    "an endpoint that did not run a request leaves it to another one, also when it must not be repeated") {
    scripted_endpoint full([](const auto&) {
        return scripted_reply{complete_response("", "503 Service Unavailable", "x-not-run: 1\r\n")};
    });
    const test_host host;
    host.use(full, "e1");
    const auto refused = send_and_read(host.address(), request_text("/book/1", "q1", "", "POST"), "}");
    CHECK(refused.starts_with("HTTP/1.1 503"));
    CHECK(refused.find("not_run") != std::string::npos);
    scripted_endpoint good([](const auto&) { return scripted_reply{complete_response("booked")}; });
    host.use(good, "e2");
    for (int n = 0; n < 5; ++n) {
        const auto answer =
            send_and_read(host.address(), request_text("/book/1", "q2", "", "POST"), "booked");
        CHECK(answer.starts_with("HTTP/1.1 200"));
    }
}

TEST_CASE("work that must not be repeated is sent once when its response is lost, and is answered with 502") {
    for (const bool reset : {false, true}) {
        scripted_endpoint truncating([&](const auto&) {
            return scripted_reply{"HTTP/1.1 200 OK\r\nx-id: @ID@\r\nContent-Length: 100\r\n\r\nhalf", !reset,
                                  reset};
        });
        const test_host host;
        host.use(truncating, "e1");
        host.use(truncating, "e2");
        const auto answer = send_and_read(host.address(), request_text("/book/1", "q1", "", "POST"), "}");
        CHECK(answer.starts_with("HTTP/1.1 502"));
        CHECK(truncating.heads().size() == 1);
        // An idempotent request is retried at the other endpoint.
        send_and_read(host.address(), request_text("/read/1", "q2"), "}");
        CHECK(truncating.heads().size() == 3);
    }
}

TEST_CASE("a read whose answer never comes is sent once more while its caller waits, a booking is not") {
    // The first request of each kind gets no response in time.
    std::atomic<int> arrived{0};
    scripted_endpoint slow_once([&](const auto&) {
        return scripted_reply{complete_response("late"), false, false, arrived++ == 0 ? 3000 : 0};
    });
    const test_host host;
    host.use(slow_once, "e1");
    host.use(slow_once, "e2");
    const auto read = send_and_read(host.address(), request_text("/quick/1", "q1"), "late");
    CHECK(read.starts_with("HTTP/1.1 200"));
    CHECK(slow_once.heads().size() == 2);
    arrived = 0;
    const auto booking = send_and_read(host.address(), request_text("/pay/1", "q2", "", "POST"), "}");
    CHECK(booking.starts_with("HTTP/1.1 504"));
    CHECK(slow_once.heads().size() == 3);
}

TEST_CASE("a stopping host does not retry a slow request at another endpoint") {
    scripted_endpoint slow([](const auto&) {
        return scripted_reply{complete_response("late"), false, false, 1400};
    });
    const test_host host;
    host.use(slow, "e1");
    host.use(slow, "e2");
    host.running->state->stopping = true;
    const auto answer = send_and_read(host.address(), patient_request_text("/patient/1", "q1"), "late");
    CHECK(answer.starts_with("HTTP/1.1 200"));
    CHECK(slow.heads().size() == 1);
}

TEST_CASE("a request in flight when its host begins to stop is not retried at another endpoint") {
    scripted_endpoint slow([](const auto&) {
        return scripted_reply{complete_response("late"), false, false, 1400};
    });
    const test_host host;
    host.use(slow, "e1");
    host.use(slow, "e2");
    std::thread stop([&] {
        std::this_thread::sleep_for(milliseconds(300));
        host.running->state->stopping = true;
    });
    const auto answer = send_and_read(host.address(), patient_request_text("/patient/1", "q1"), "late");
    stop.join();
    CHECK(answer.starts_with("HTTP/1.1 200"));
    CHECK(slow.heads().size() == 1);
}

TEST_CASE("an answer without a length is whole only when its connection is closed without a reset") {
    scripted_endpoint closing([](const auto&) {
        return scripted_reply{"HTTP/1.1 200 OK\r\nx-id: @ID@\r\n\r\nall of it", true};
    });
    const test_host host;
    host.use(closing);
    const auto whole = send_and_read(host.address(), request_text("/read/1", "q1"), "all of it");
    CHECK(whole.starts_with("HTTP/1.1 200"));
    CHECK(whole.find("Content-Length: 9") != std::string::npos);
    scripted_endpoint resetting([](const auto&) {
        return scripted_reply{"HTTP/1.1 200 OK\r\nx-id: @ID@\r\n\r\npart of it", false, true};
    });
    const test_host other;
    other.use(resetting);
    const auto incomplete = send_and_read(other.address(), request_text("/book/1", "q2", "", "POST"), "}");
    CHECK(incomplete.starts_with("HTTP/1.1 502"));
}

TEST_CASE("an answer whose head is cut at any byte is no answer, for a read and for a booking") {
    const std::string whole = "HTTP/1.1 200 OK\r\nx-id: @ID@\r\nContent-Length: 0\r\nx-after: 1\r\n\r\n";
    std::atomic<std::size_t> length{0};
    scripted_endpoint endpoint([&](const auto&) { return scripted_reply{whole.substr(0, length), true}; });
    const test_host host;
    host.use(endpoint);
    for (length = 0; length < whole.size(); ++length) {
        CAPTURE(length.load());
        const auto id = fmt::format("q{}", length.load());
        const auto read = send_and_read(host.address(), request_text("/read/1", id), "}");
        CHECK(read.starts_with("HTTP/1.1 502"));
        const auto booking = send_and_read(host.address(), request_text("/book/1", id, "", "POST"), "}");
        CHECK(booking.starts_with("HTTP/1.1 502"));
    }
    CHECK(endpoint.heads().size() == 2 * whole.size());
}

TEST_CASE("answers to other requests reach no caller") {
    const std::string stray = "HTTP/1.1 200 OK\r\nx-id: other\r\nContent-Length: 5\r\n\r\nstray";
    scripted_endpoint endpoint(
        [&](const auto&) { return scripted_reply{stray + complete_response("mine")}; });
    const test_host host;
    host.use(endpoint);
    const auto answer = send_and_read(host.address(), request_text("/read/1", "q1"), "mine");
    CHECK(answer.starts_with("HTTP/1.1 200"));
    CHECK(answer.find("stray") == std::string::npos);
    // Input after a complete response belongs to no request; the connection is not reused.
    scripted_endpoint extra([&](const auto&) { return scripted_reply{complete_response("mine") + stray}; });
    const test_host second;
    second.use(extra);
    for (int n = 0; n < 3; ++n) {
        CHECK(send_and_read(second.address(), request_text("/read/1", fmt::format("q{}", n)), "mine")
                  .find("stray") == std::string::npos);
    }
    CHECK(extra.connections == 3);
}

TEST_CASE("an earlier refusal that is sent again on a reused connection refuses no later request") {
    for (const std::string earlier_id : {"x-id: q0\r\n", ""}) {
        CAPTURE(earlier_id);
        const std::string refusal =
            "HTTP/1.1 503 Service Unavailable\r\nx-not-run: 1\r\n" + earlier_id + "Content-Length: 0\r\n\r\n";
        std::atomic<int> arrived{0};
        scripted_endpoint repeating([&](const auto&) {
            // The first request opens the connection. Responses to later ones follow a refusal of an earlier
            // one.
            return scripted_reply{(arrived++ == 0 ? std::string() : refusal) + complete_response("ran")};
        });
        const test_host host;
        host.use(repeating, "e1");
        send_and_read(host.address(), request_text("/book/1", "q1", "", "POST"), "ran");
        host.use(repeating, "e2");
        const auto answer =
            send_and_read(host.address(), request_text("/book/1", "q2", "", "POST"), "\r\n\r\n");
        CHECK_FALSE(answer.starts_with("HTTP/1.1 503"));
        CHECK(repeating.heads().size() == 2);
    }
}

TEST_CASE("bytes without end from an endpoint end the request at once and their memory is released") {
    const std::string endless(4U << 20U, 'a');
    const std::string head = "HTTP/1.1 200 OK\r\nx-id: @ID@\r\n";
    const std::string chunked = head + "Transfer-Encoding: chunked\r\n\r\n";
    for (const auto& begin :
         {std::string(), std::string("HTTP/1.1 200 OK\r\nx-more: "), head + "\r\n",
          std::string("HTTP/1.1 200 OK\r\nx-id: other\r\n\r\n"), head + "Content-Length: 99999999999\r\n\r\n",
          chunked + "1;x=", chunked + "3fffff\r\n", chunked + "0\r\nx-more: "}) {
        CAPTURE(begin);
        const auto bytes = begin + endless;
        scripted_endpoint endpoint([&](const auto&) { return scripted_reply{bytes}; });
        auto options = test_options();
        options.call_memory_bytes = 1 << 20;
        const test_host host(options);
        host.use(endpoint);
        // Waiting until the request times out would give 504.
        const auto answer = send_and_read(host.address(), request_text("/book/1", "q1", "", "POST"), "}");
        CHECK(answer.starts_with("HTTP/1.1 502"));
        // Held until the answer has been written.
        const auto due = common::monotonic::now() + milliseconds(2000);
        while (host.running->state->call_memory.used != 0 && common::monotonic::now() < due) {
            std::this_thread::yield();
        }
        CHECK(host.running->state->call_memory.used == 0);
    }
}

TEST_CASE("a request is cancelled when its caller disconnects") {
    scripted_endpoint endpoint([](const auto&) {
        return scripted_reply{complete_response("late"), false, false, 800};
    });
    const test_host host;
    host.use(endpoint);
    send_and_read(host.address(), request_text("/read/1", "q1"), "late", 100);
    const auto due = common::monotonic::now() + milliseconds(600);
    while (endpoint.closed_early == 0 && common::monotonic::now() < due) {
        std::this_thread::yield();
    }
    CHECK(endpoint.closed_early == 1);
}

TEST_CASE("all requests of a full pipeline are cancelled when their caller disconnects") {
    scripted_endpoint endpoint([](const auto&) {
        return scripted_reply{complete_response("late"), false, false, 900};
    });
    const test_host host;
    host.use(endpoint);
    std::string text;
    for (int n = 0; n < 12; ++n) {
        text += request_text("/read/1", fmt::format("q{}", n));
    }
    send_and_read(host.address(), text, "late", 100);
    const auto due = common::monotonic::now() + milliseconds(700);
    while (endpoint.closed_early < 8 && common::monotonic::now() < due) {
        std::this_thread::yield();
    }
    const auto arrived = endpoint.heads().size();
    CHECK(endpoint.closed_early == static_cast<int>(arrived));
    CHECK(arrived >= 6);
    CHECK(arrived <= 8);
}

TEST_CASE("the final response is sent at the caller's timeout") {
    scripted_endpoint silent([](const auto&) { return scripted_reply{"", false, false, 4000}; });
    const test_host host;
    host.use(silent);
    const auto before = common::monotonic::now();
    const auto answer = send_and_read(host.address(), request_text("/book/1", "q1", "", "POST"), "}");
    const auto elapsed = common::monotonic::now() - before;
    CHECK(answer.starts_with("HTTP/1.1 504"));
    CHECK(elapsed > milliseconds(900));
    CHECK(elapsed < milliseconds(1500));
}

TEST_CASE("a graceful stop answers requests in flight and closes their connections") {
    scripted_endpoint endpoint([](const auto&) {
        return scripted_reply{complete_response("done"), false, false, 300};
    });
    const auto running = start_gateway(test_options());
    apply_configuration(*running->state, test_configuration());
    apply_endpoint(*running->state, entry_of(endpoint, "e1"));
    CHECK(is_ready(*running->state));
    std::string answer;
    std::thread caller([&] {
        answer =
            send_and_read(running->state->options.request_address, request_text("/book/1", "q1"), "done");
    });
    while (running->state->requests_in_flight == 0) {
        std::this_thread::yield();
    }
    stop_gateway(*running);
    caller.join();
    CHECK(answer.starts_with("HTTP/1.1 200"));
    CHECK(answer.find("Connection: close") != std::string::npos);
    CHECK_FALSE(is_ready(*running->state));
}

TEST_CASE("a stopping host refuses an order at once whose answer it can't expect before its end, and serves "
          "a read") {
    scripted_endpoint endpoint([](const auto&) { return scripted_reply{complete_response("done")}; });
    const auto running = start_gateway(options_with_long_stop());
    apply_configuration(*running->state, test_configuration());
    apply_endpoint(*running->state, entry_of(endpoint, "e1"));
    const auto address = running->state->options.request_address;
    std::thread stop([&] { stop_gateway(*running); });
    while (!running->state->stopping) {
        std::this_thread::yield();
    }
    const auto order = send_and_read(address, patient_request_text("/order/1", "q1", "POST", 20'000), "}");
    CHECK(order.starts_with("HTTP/1.1 503"));
    CHECK(order.find("not_run") != std::string::npos);
    CHECK(order.find("Connection: close") != std::string::npos);
    CHECK(endpoint.heads().empty());
    const auto read = send_and_read(address, patient_request_text("/patient/1", "q2"), "done");
    CHECK(read.starts_with("HTTP/1.1 200"));
    stop.join();
}

TEST_CASE("a stopping host reads no further requests of a pipeline once its listener is closed") {
    scripted_endpoint endpoint([](const auto&) {
        return scripted_reply{complete_response("done"), false, false, 400};
    });
    const auto running = start_gateway(options_with_long_stop());
    apply_configuration(*running->state, test_configuration());
    apply_endpoint(*running->state, entry_of(endpoint, "e1"));
    // The pipeline of the connection is full, and further requests wait in the socket.
    std::string pipeline;
    for (int n = 0; n < 100; ++n) {
        pipeline += patient_request_text("/patient/1", fmt::format("q{}", n));
    }
    std::string answers;
    std::thread caller(
        [&] { answers = send_and_read(running->state->options.request_address, pipeline, "never"); });
    while (running->state->requests_in_flight == 0) {
        std::this_thread::yield();
    }
    stop_gateway(*running);
    caller.join();
    std::size_t answered = 0;
    for (auto at = answers.find("HTTP/1.1 200"); at != std::string::npos;
         at = answers.find("HTTP/1.1 200", at + 1)) {
        ++answered;
    }
    // Each request that was passed on is answered, and the last answer closes the connection.
    CHECK(answered == endpoint.heads().size());
    CHECK(answered < 100);
    CHECK(answers.find("Connection: close") != std::string::npos);
}

TEST_CASE("an older configuration never replaces a newer one") {
    const test_host host;
    auto newer = test_configuration();
    newer->version = 5;
    CHECK(apply_configuration(*host.running->state, newer));
    auto older = test_configuration();
    older->version = 4;
    CHECK_FALSE(apply_configuration(*host.running->state, older));
    CHECK(current_configuration(*host.running->state)->version == 5);
}

} // namespace lycheegap::gateway
