#include <array>
#include <thread>

#include <arpa/inet.h>
#include <doctest/doctest.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include "core/gateway/caller_connection.h"
#include "core/transport/listen_socket.h"

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

/// A caller's connection that the test writes and reads step by step.
class caller_socket {
public:
    explicit caller_socket(const std::string& address) : fd_(socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0)) {
        const auto where = transport::split_address(address);
        sockaddr_in target{};
        target.sin_family = AF_INET;
        target.sin_port = htons(static_cast<std::uint16_t>(where->port));
        inet_pton(AF_INET, where->ip.c_str(), &target.sin_addr);
        // Answers larger than the buffers stay under way until they are read.
        const int small = 64 << 10;
        setsockopt(fd_, SOL_SOCKET, SO_RCVBUF, &small, sizeof small);
        REQUIRE(connect(fd_, reinterpret_cast<const sockaddr*>(&target), sizeof target) == 0);
        const timeval longest{.tv_sec = 10, .tv_usec = 0};
        setsockopt(fd_, SOL_SOCKET, SO_RCVTIMEO, &longest, sizeof longest);
    }

    caller_socket(const caller_socket&) = delete;
    caller_socket& operator=(const caller_socket&) = delete;
    caller_socket(caller_socket&&) = delete;
    caller_socket& operator=(caller_socket&&) = delete;

    ~caller_socket() {
        close(fd_);
    }

    bool write(const std::string& bytes) const {
        return send(fd_, bytes.data(), bytes.size(), MSG_NOSIGNAL) == static_cast<ssize_t>(bytes.size());
    }

    /// What arrives up to `until` or the end of the connection.
    [[nodiscard]] std::string read(const std::string& until) const {
        std::string input;
        std::array<char, 65536> buf{};
        while (!input.ends_with(until)) {
            const auto n = recv(fd_, buf.data(), buf.size(), 0);
            if (n <= 0) {
                break;
            }
            input.append(buf.data(), static_cast<std::size_t>(n));
        }
        return input;
    }

    /// Whether input arrives within ten seconds; it is left unread.
    [[nodiscard]] bool has_input() const {
        pollfd one{fd_, POLLIN, 0};
        return poll(&one, 1, 10'000) > 0 && (one.revents & POLLIN) != 0;
    }

    /// Whether the host resets the connection within a second: it has not read what was sent last.
    [[nodiscard]] bool is_reset() const {
        for (int n = 0; n < 100; ++n) {
            int ec = 0;
            socklen_t size = sizeof ec;
            getsockopt(fd_, SOL_SOCKET, SO_ERROR, &ec, &size);
            if (ec != 0) {
                return true;
            }
            std::this_thread::sleep_for(milliseconds(10));
        }
        return false;
    }

private:
    int fd_;
};

void wait_for_head(scripted_endpoint& endpoint) {
    while (endpoint.heads().empty()) {
        std::this_thread::sleep_for(milliseconds(1));
    }
}

} // namespace

// Guards against requests that are read after the close of an idle connection and get neither an answer nor a
// refusal.
TEST_CASE("a request that crosses the close of an idle connection is not read, and its caller is told") {
    scripted_endpoint endpoint([](const auto&) { return scripted_reply{complete_response("done")}; });
    const auto running = start_host(endpoint);
    const caller_socket caller(running->state->options.request_address);
    caller.write(patient_request_text("/patient/1", "q1"));
    REQUIRE(caller.read("done").starts_with("HTTP/1.1 200"));
    std::thread stop([&] { stop_gateway(*running); });
    // Idle connections are closed 1500 ms after the stop has begun.
    CHECK(caller.read("done").empty());
    caller.write(patient_request_text("/patient/1", "q2"));
    CHECK(caller.is_reset());
    stop.join();
    CHECK(endpoint.heads().size() == 1);
}

// Guards against requests that have arrived, but have not been read, when idle connections are closed.
TEST_CASE("a request that has arrived when idle connections are closed is answered") {
    scripted_endpoint endpoint([](const auto&) { return scripted_reply{complete_response("done")}; });
    auto options = options_with_long_stop();
    options.workers = 1;
    for (const bool end : {false, true}) {
        CAPTURE(end);
        const auto running = start_gateway(options);
        auto& state = *running->state;
        apply_configuration(state, test_configuration());
        apply_endpoint(state, entry_of(endpoint, "e1"));
        const caller_socket caller(state.options.request_address);
        caller.write(patient_request_text("/patient/1", "q1"));
        REQUIRE(caller.read("done").starts_with("HTTP/1.1 200"));
        // The only worker is busy while the request arrives and the close is decided.
        net::post(state.io, [] { std::this_thread::sleep_for(milliseconds(300)); });
        std::this_thread::sleep_for(milliseconds(100));
        caller.write(patient_request_text("/patient/1", "q2"));
        if (end) {
            end_intake(state);
        } else {
            prune_caller_connections(state, true);
        }
        CHECK(caller.read("done").starts_with("HTTP/1.1 200"));
        stop_gateway(*running);
    }
}

// Guards against requests that are dropped behind an answer that did not announce the close of the
// connection.
TEST_CASE(
    "a planned stop refuses a request behind an answer that was begun before it and keeps the connection") {
    const std::string body(6U << 20U, 'b');
    scripted_endpoint endpoint([&](const std::string& head) {
        // The other request keeps the host from ending.
        return head.find("/order/2") == std::string::npos
                   ? scripted_reply{complete_response(body + "end")}
                   : scripted_reply{.bytes = complete_response("done"), .delay_ms = 4500};
    });
    const auto running = start_host(endpoint);
    const caller_socket other(running->state->options.request_address);
    other.write(patient_request_text("/order/2", "q2", "POST", 20'000));
    const caller_socket caller(running->state->options.request_address);
    caller.write(patient_request_text("/order/1", "q1", "POST", 20'000));
    while (endpoint.heads().size() < 2) {
        std::this_thread::sleep_for(milliseconds(1));
    }
    // The answer is being written.
    REQUIRE(caller.has_input());
    std::thread stop([&] { stop_gateway(*running); });
    // The intake ends 2100 ms after the stop has begun.
    std::this_thread::sleep_for(milliseconds(2400));
    const auto first = caller.read("bend");
    CHECK(first.starts_with("HTTP/1.1 200"));
    CHECK(first.substr(0, 1000).find("Connection: close") == std::string::npos);
    caller.write(patient_request_text("/order/1", "q3", "POST", 20'000));
    const auto second = caller.read("}");
    CHECK(second.starts_with("HTTP/1.1 503"));
    CHECK(second.find("Connection: close") != std::string::npos);
    CHECK(other.read("done").starts_with("HTTP/1.1 200"));
    stop.join();
}

// Guards against answers that are ready and are cut at the end of a stop, behind an older request still at
// work.
TEST_CASE(
    "at the end of a planned stop requests at work are given up, and ready answers behind them delivered") {
    scripted_endpoint endpoint([](const std::string& head) {
        return head.find("/order/1") == std::string::npos
                   ? scripted_reply{complete_response("done")}
                   : scripted_reply{.bytes = complete_response("late"), .delay_ms = 15'000};
    });
    const auto running = start_host(endpoint);
    const caller_socket caller(running->state->options.request_address);
    caller.write(patient_request_text("/order/1", "q1", "POST", 20'000) +
                 patient_request_text("/order/2", "q2", "POST", 20'000));
    while (endpoint.heads().size() < 2) {
        std::this_thread::sleep_for(milliseconds(1));
    }
    stop_gateway(*running);
    const auto answers = caller.read("done");
    CHECK(answers.starts_with("HTTP/1.1 502"));
    CHECK(answers.find("\"unknown\"") != std::string::npos);
    CHECK(answers.find("HTTP/1.1 200") != std::string::npos);
    CHECK(answers.ends_with("done"));
}

// Guards against requests that a stopping host passes on once more without the time for an answer.
TEST_CASE("a stopping host refuses a request that was shed too late for another attempt") {
    scripted_endpoint shedding([](const auto&) {
        return scripted_reply{.bytes = complete_response("", "503 Service Unavailable", "x-not-run: 1\r\n"),
                              .delay_ms = 3500};
    });
    scripted_endpoint other([](const auto&) { return scripted_reply{complete_response("done")}; });
    const auto running = start_host(shedding);
    // Retry budgets are shared by the members.
    traffic::fleet_member own;
    own.name = running->state->options.host;
    apply_member(*running->state, own);
    const caller_socket caller(running->state->options.request_address);
    caller.write(patient_request_text("/order/1", "q1", "POST", 20'000));
    wait_for_head(shedding);
    apply_endpoint(*running->state, entry_of(other, "e2"));
    stop_gateway(*running);
    const auto answer = caller.read("}");
    CHECK(answer.starts_with("HTTP/1.1 503"));
    CHECK(answer.find("\"stopping\"") != std::string::npos);
    CHECK(answer.find("\"not_run\"") != std::string::npos);
    CHECK(other.heads().empty());
}

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
