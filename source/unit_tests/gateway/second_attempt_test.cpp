#include <atomic>
#include <mutex>
#include <thread>
#include <vector>

#include <fmt/format.h>

#include <doctest/doctest.h>

#include "scripted_endpoint.h"
#include "test_host.h"

namespace lycheegap::gateway {

using common::milliseconds;

namespace {

// After three times the route's target latency, but at least 800 ms, an answer of /patient/ is overdue.
constexpr int overdue_ms = 800;
constexpr int slow_ms = 1400;

scripted_reply answer_after(int delay_ms, const std::string& body = "done") {
    return {complete_response(body), false, false, delay_ms};
}

scripted_reply refusal() {
    return {complete_response("", "503 Service Unavailable", "x-not-run: 1\r\n")};
}

/// Replies to the first request that arrives after `slow_ms`, and to later ones with `later`.
std::function<scripted_reply(const std::string&)> slow_then(std::atomic<int>& arrived,
                                                            const scripted_reply& later) {
    return [&arrived, later](const auto&) { return arrived++ == 0 ? answer_after(slow_ms) : later; };
}

std::string read_once(const test_host& host, const std::string& id = "q1") {
    return send_and_read(host.address(), patient_request_text("/patient/1", id), "}");
}

/// The answer to a read that arrives at one of two endpoints, of which the first answers after `slow_ms` and
/// the second as `later` says.
std::string read_at_two_endpoints(const scripted_reply& later) {
    std::atomic<int> arrived{0};
    scripted_endpoint endpoint(slow_then(arrived, later));
    const test_host host;
    host.use(endpoint, "e1");
    host.use(endpoint, "e2");
    return send_and_read(host.address(), patient_request_text("/patient/1", "q1"), "done");
}

} // namespace

TEST_CASE("a read is not given up when no other endpoint can replace the one at work on it") {
    scripted_endpoint slow([](const auto&) { return answer_after(slow_ms, "{}"); });
    const test_host host;
    host.use(slow);
    CHECK(read_once(host).starts_with("HTTP/1.1 200"));
    CHECK(slow.closed_early == 0);
}

TEST_CASE("a read is not given up when the retry budget has run out since its attempt began") {
    scripted_endpoint slow([](const auto&) { return answer_after(slow_ms, "{}"); });
    auto options = test_options();
    // Four fifths of it are used: one retry.
    options.retries = {.ratio = 0, .slack = 1.25};
    const test_host host(options);
    host.use(slow, "e1");
    host.use(slow, "e2");
    std::vector<std::string> answers(4);
    std::vector<std::thread> callers;
    callers.reserve(answers.size());
    for (std::size_t n = 0; n < answers.size(); ++n) {
        callers.emplace_back([&, n] { answers[n] = read_once(host, fmt::format("q{}", n)); });
    }
    for (auto& it : callers) {
        it.join();
    }
    for (const auto& it : answers) {
        CHECK(it.starts_with("HTTP/1.1 200"));
    }
    CHECK(slow.heads().size() <= answers.size() + 1);
}

TEST_CASE("a read is answered by its first endpoint when the second one refuses, dies, fails or is slower") {
    const scripted_reply cut{"HTTP/1.1 200 OK\r\nx-id: @ID@\r\nContent-Length: 9\r\n\r\nhalf", true};
    const scripted_reply failure{complete_response("", "500 Internal Server Error")};
    for (const auto& later : {refusal(), cut, failure, answer_after(2000)}) {
        CAPTURE(later.bytes);
        CHECK(read_at_two_endpoints(later).starts_with("HTTP/1.1 200"));
    }
}

TEST_CASE(
    "a read in flight is answered when its host begins to stop before, at and after its answer is overdue") {
    for (const int stop_ms : {overdue_ms - 300, overdue_ms, overdue_ms + 300}) {
        CAPTURE(stop_ms);
        scripted_endpoint slow([](const auto&) { return answer_after(slow_ms, "{}"); });
        auto options = options_with_long_stop();
        const test_host host(options);
        host.use(slow, "e1");
        host.use(slow, "e2");
        std::thread stop([&] {
            std::this_thread::sleep_for(milliseconds(stop_ms));
            host.running->state->stopping = true;
        });
        const auto answer = read_once(host);
        stop.join();
        CHECK(answer.starts_with("HTTP/1.1 200"));
    }
}

TEST_CASE("a read whose endpoint says that requests queue there is not sent to another endpoint") {
    scripted_endpoint queueing([](const std::string& head) {
        const bool probe = head.find("/read/") != std::string::npos;
        return scripted_reply{complete_response("{}", "200 OK", "x-load: 6,4,6\r\n"), false, false,
                              probe ? 0 : slow_ms};
    });
    const test_host host;
    host.use(queueing, "e1");
    std::string answer;
    std::thread caller([&] { answer = read_once(host); });
    while (queueing.heads().empty()) {
        std::this_thread::sleep_for(milliseconds(1));
    }
    for (const auto* id : {"q2", "q3", "q4"}) {
        send_and_read(host.address(), request_text("/read/1", id), "{}");
        std::this_thread::sleep_for(milliseconds(200));
    }
    host.use(queueing, "e2");
    caller.join();
    CHECK(answer.starts_with("HTTP/1.1 200"));
    CHECK(queueing.heads().size() == 4);
}

TEST_CASE("both attempts of a read are cancelled when its caller disconnects") {
    scripted_endpoint slow([](const auto&) { return answer_after(3000); });
    const test_host host;
    host.use(slow, "e1");
    host.use(slow, "e2");
    send_and_read(host.address(), patient_request_text("/patient/1", "q1"), "done", overdue_ms + 300);
    const auto due = common::monotonic::now() + milliseconds(600);
    while (slow.closed_early < 2 && common::monotonic::now() < due) {
        std::this_thread::sleep_for(milliseconds(1));
    }
    CHECK(slow.heads().size() == 2);
    CHECK(slow.closed_early == 2);
}

TEST_CASE("the attempt of a read that loses is cancelled, and its connection serves no other request") {
    std::atomic<int> arrived{0};
    scripted_endpoint endpoint([&](const auto&) { return answer_after(arrived++ == 0 ? 3000 : 0); });
    const test_host host;
    host.use(endpoint, "e1");
    host.use(endpoint, "e2");
    const auto answer = send_and_read(host.address(), patient_request_text("/patient/1", "q1"), "done");
    CHECK(answer.starts_with("HTTP/1.1 200"));
    const auto due = common::monotonic::now() + milliseconds(600);
    while (endpoint.closed_early < 1 && common::monotonic::now() < due) {
        std::this_thread::sleep_for(milliseconds(1));
    }
    CHECK(endpoint.closed_early == 1);
}

TEST_CASE("an endpoint that was silent while another one answered is avoided at first") {
    std::atomic<int> arrived{0};
    scripted_endpoint endpoint([&](const auto&) { return answer_after(arrived++ == 0 ? 3000 : 0); });
    const test_host host;
    host.use(endpoint, "e1");
    host.use(endpoint, "e2");
    CHECK(send_and_read(host.address(), patient_request_text("/patient/1", "q1"), "done")
              .starts_with("HTTP/1.1 200"));
    const auto avoided_and_idle = [&] {
        auto& table = host.running->state->endpoints;
        const std::lock_guard guard(table.mutex);
        int avoided = 0;
        int in_flight = 0;
        for (const auto& [id, it] : table.set.by_id) {
            avoided += it->consecutive_failures;
            in_flight += it->in_flight;
        }
        return avoided == 1 && in_flight == 0;
    };
    const auto due = common::monotonic::now() + milliseconds(2000);
    while (!avoided_and_idle() && common::monotonic::now() < due) {
        std::this_thread::sleep_for(milliseconds(1));
    }
    CHECK(avoided_and_idle());
}

} // namespace lycheegap::gateway
