#include "core/gateway/task.h"

#include <stdexcept>
#include <thread>

#include <boost/asio/compose.hpp>
#include <doctest/doctest.h>

#include "test_host.h"

namespace lycheegap::gateway {

using common::milliseconds;

namespace {

/// An I/O operation whose completion handler throws.
auto async_fail(const net::any_io_executor& executor) {
    return net::async_compose<const net::use_awaitable_t<>, void()>(
        [executor, begun = false](auto& self) mutable {
            if (begun) {
                throw std::length_error("too long");
            }
            begun = true;
            net::post(executor, std::move(self));
        },
        net::use_awaitable, executor);
}

awaitable<void> fail_in_operation(net::any_io_executor executor) {
    co_await async_fail(executor);
}

awaitable<void> fail_in_frame(net::any_io_executor executor) {
    co_await net::post(executor, net::use_awaitable);
    throw std::length_error("too long");
}

awaitable<void> succeed() {
    co_return;
}

bool reaches(const std::atomic<int>& count, int expected) {
    const auto due = common::monotonic::now() + milliseconds(5000);
    while (count < expected && common::monotonic::now() < due) {
        std::this_thread::sleep_for(milliseconds(1));
    }
    return count >= expected;
}

} // namespace

// Guards against what a task holds being kept for good after an exception.
TEST_CASE("a task that fails releases what it holds, wherever the exception leaves") {
    const test_host host;
    auto& state = *host.running->state;
    const net::any_io_executor executor = net::make_strand(state.io);
    std::atomic<int> released{0};
    spawn_task(state, executor, "frame", fail_in_frame(executor), [&] { ++released; });
    spawn_task(state, executor, "operation", fail_in_operation(executor), [&] { ++released; });
    net::post(state.io, [] { throw std::length_error("too long"); });
    CHECK(reaches(released, 2));
    // Runs after the two on the same strand.
    std::atomic<int> ended{0};
    spawn_task(state, executor, "sound", succeed(), [&] { ++released; });
    net::post(executor, [&] { ++ended; });
    CHECK(reaches(ended, 1));
    CHECK(released == 2);
}

// Guards against a host that no longer follows the store, or accepts callers, after one exception.
TEST_CASE("a permanent task that fails begins anew") {
    const test_host host;
    auto& state = *host.running->state;
    const net::any_io_executor executor = net::make_strand(state.io);
    std::atomic<int> begun{0};
    spawn_permanent_task(state, executor, "permanent", [&] {
        ++begun;
        switch (begun) {
        case 1:
            return fail_in_frame(executor);
        case 2:
            return fail_in_operation(executor);
        default:
            return succeed();
        }
    });
    CHECK(reaches(begun, 3));
}

} // namespace lycheegap::gateway
