#include "platform/store_calls.h"

#include <algorithm>
#include <chrono>
#include <iterator>

#include <doctest/doctest.h>

#include "unit_tests/gateway/scripted_endpoint.h"

namespace lycheegap::platform {

namespace net = gateway::net;

TEST_CASE("an answer of the store without end is given up within a bound on its memory") {
    auto replies = gateway::endless_replies();
    std::ranges::copy(gateway::endless_chunk_extensions(), std::back_inserter(replies));
    for (const auto& it : replies) {
        CAPTURE(it.bytes);
        CAPTURE(it.endless.substr(0, 40));
        gateway::scripted_endpoint store([&](const auto&) { return it; });
        net::io_context io;
        store_client client;
        client.io = &io;
        client.address = store.address();
        bool answered = true;
        net::co_spawn(
            io,
            [&]() -> gateway::awaitable<void> {
                const auto result = co_await read_range(client, "entries/", "");
                answered = result.status == store_status::ok;
            },
            net::detached);
        io.run_for(std::chrono::seconds(20));
        CHECK(io.stopped());
        CHECK_FALSE(answered);
        CHECK(store.bytes_sent < gateway::max_socket_buffers + (16U << 20U));
    }
}

} // namespace lycheegap::platform
