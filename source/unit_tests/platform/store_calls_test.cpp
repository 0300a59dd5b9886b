#include "platform/store_calls.h"

#include <algorithm>
#include <future>
#include <thread>

#include <boost/asio/use_future.hpp>
#include <doctest/doctest.h>

#include "core/common/store_revision.h"
#include <fmt/format.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include "core/transport/listen_socket.h"

namespace lycheegap::platform {

namespace {

using common::milliseconds;
using common::monotonic;

constexpr std::string_view page_text = R"({"items":[],"has_more":false,"at_rev":7})";

/// A store that sends one response in pieces, with a pause before each.
struct slow_store {
    slow_store(int pieces, milliseconds pause)
        : listener(*transport::open_listener("127.0.0.1", 0)),
          serving([this, pieces, pause] { serve(pieces, pause); }) {}

    slow_store(const slow_store&) = delete;
    slow_store& operator=(const slow_store&) = delete;
    slow_store(slow_store&&) = delete;
    slow_store& operator=(slow_store&&) = delete;

    ~slow_store() {
        serving.join();
        close(listener.fd);
    }

    void serve(int pieces, milliseconds pause) const {
        // The listener does not block.
        pollfd waiting{listener.fd, POLLIN, 0};
        poll(&waiting, 1, -1);
        const int fd = accept(listener.fd, nullptr, nullptr);
        std::string buf(4096, '\0');
        recv(fd, buf.data(), buf.size(), 0);
        const auto text =
            fmt::format("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{}", page_text.size(), page_text);
        const auto size = text.size() / static_cast<std::size_t>(pieces) + 1;
        for (std::size_t at = 0; at < text.size(); at += size) {
            std::this_thread::sleep_for(at == 0 ? milliseconds(0) : pause);
            send(fd, text.data() + at, std::min(size, text.size() - at), MSG_NOSIGNAL);
        }
        close(fd);
    }

    transport::listen_socket listener;
    std::thread serving;
};

store_result<store_page> read_slowly(int pieces, milliseconds pause) {
    const slow_store store(pieces, pause);
    gateway::net::io_context io;
    store_client client{
        .io = &io, .address = fmt::format("127.0.0.1:{}", store.listener.port), .connection = {}};
    auto read = gateway::net::co_spawn(io, read_range(client, "", ""), gateway::net::use_future);
    io.run();
    return read.get();
}

} // namespace

// Guards against a copy of the store that counts as current though it took seconds to arrive: a host with a
// full link asked no other host and passed its old copy on as new.
TEST_CASE("the age of a response counts from its head, not from the end of its body") {
    const auto result = read_slowly(8, milliseconds(200));
    REQUIRE(result.status == store_status::ok);
    // The head ends within the first four pieces.
    CHECK(common::boot_clock::now() - result.answered_at >= milliseconds(200));
}

TEST_CASE("a response that takes long is read as long as bytes arrive") {
    const auto result = read_slowly(5, milliseconds(700));
    CHECK(result.status == store_status::ok);
    CHECK(common::number_of(result.value.revision) == 7);
}

TEST_CASE("the pauses between failed calls grow, so that a host makes few calls in a long outage") {
    milliseconds pause{0};
    milliseconds passed{0};
    int calls = 0;
    while (passed < milliseconds(12'000)) {
        pause = next_backoff(pause, milliseconds(400), milliseconds(1333));
        CHECK(pause >= milliseconds(400));
        CHECK(pause <= milliseconds(1333));
        passed += pause;
        ++calls;
    }
    // 30 with the shortest pause each time.
    CHECK(calls <= 12);
    CHECK(next_backoff(milliseconds(0), milliseconds(400), milliseconds(100)) == milliseconds(400));
}

TEST_CASE("a response that stalls is given up") {
    const auto result = read_slowly(2, milliseconds(2500));
    CHECK(result.status == store_status::unknown);
}

} // namespace lycheegap::platform
