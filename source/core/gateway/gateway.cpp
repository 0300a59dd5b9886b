#include "gateway.h"

#include <condition_variable>
#include <mutex>

#include "attempt.h"
#include "caller_connection.h"
#include "core/common/last_reason.h"
#include "core/common/log.h"
#include "core/transport/listen_socket.h"
#include "team_rates.h"

namespace lycheegap::gateway {

namespace {

using common::field;
using common::milliseconds;
using common::monotonic;

constexpr milliseconds sweep_interval{250};
// Planned stop, in parts of the stop time: callers hear of it and open no more connections; then idle
// connections are closed; the rest is for requests under way.
constexpr double accept_part = 0.35;
constexpr double idle_part = 0.25;
constexpr double answer_part = 0.94;

/// Regular upkeep: silent callers, idle connections, endpoints whose removal is due.
awaitable<void> sweep(gateway_state& state) {
    net::steady_timer timer(state.io);
    while (true) {
        co_await wait_until(timer, monotonic::now() + sweep_interval);
        sweep_callers(state, false);
        sweep_connections(state);
        expire_waiters(state.mirror);
        forget_former_members(state);
        follow_homes(state);
        std::vector<std::string> gone;
        {
            const std::lock_guard guard(state.endpoints.mutex);
            gone = traffic::expire_endpoints(state.endpoints.set, monotonic::now());
        }
        for (const auto& id : gone) {
            common::log_info("endpoint_gone", {field("endpoint", id), field("at_once", false)});
        }
    }
}

milliseconds part_of(milliseconds length, double part) {
    return milliseconds{static_cast<std::int64_t>(static_cast<double>(length.count()) * part)};
}

void close_listener(const std::shared_ptr<tcp::acceptor>& listener) {
    net::post(listener->get_executor(), [listener] {
        error_code ec;
        listener->close(ec);
    });
}

/// Runs `step` on the workers at a moment of the planned stop.
awaitable<void> run_at(gateway_state& state, common::time_point due, std::function<void()> step) {
    net::steady_timer timer(state.io);
    co_await wait_until(timer, due);
    step();
}

/// Ends the workers once no request is under way, or at `due`.
awaitable<void> end_when_idle(gateway_state& state, common::time_point earliest, common::time_point due) {
    net::steady_timer timer(state.io);
    co_await wait_until(timer, earliest);
    while (state.calls > 0 && monotonic::now() < due) {
        co_await wait_until(timer, monotonic::now() + milliseconds{50});
    }
    // The last answers are written.
    co_await wait_until(timer, monotonic::now() + milliseconds{100});
    state.io.stop();
}

} // namespace

std::unique_ptr<running_gateway> start_gateway(gateway_options options) {
    const auto address = transport::split_address(options.request_address);
    if (!address) {
        common::fail(common::step::listen, options.request_address, "not an IP number and port");
        return nullptr;
    }
    const auto opened = transport::open_listener(address->ip, address->port);
    if (!opened) {
        return nullptr;
    }
    auto running = std::make_unique<running_gateway>();
    running->state = std::make_unique<gateway_state>(std::move(options));
    auto& state = *running->state;
    state.options.request_address = transport::join_address(address->ip, opened->port);
    running->listener = std::make_shared<tcp::acceptor>(net::make_strand(state.io), tcp::v4(), opened->fd);
    net::co_spawn(running->listener->get_executor(), accept_callers(state, running->listener), net::detached);
    net::co_spawn(state.io, sweep(state), net::detached);
    for (int n = 0; n < state.options.workers; ++n) {
        running->workers.emplace_back([&state] { state.io.run(); });
    }
    common::log_info("listening", {field("callers", state.options.request_address)});
    return running;
}

void stop_gateway(running_gateway& running) {
    auto& state = *running.state;
    const auto now = monotonic::now();
    const auto length = state.options.stop_time;
    state.stopping = true;
    common::log_info("stop_begun", {field("calls", state.calls.load())});
    net::co_spawn(state.io,
                  run_at(state, now + part_of(length, idle_part), [&state] { sweep_callers(state, true); }),
                  net::detached);
    net::co_spawn(state.io,
                  run_at(state, now + part_of(length, accept_part),
                         [listener = running.listener, &state] {
                             close_listener(listener);
                             sweep_callers(state, true);
                         }),
                  net::detached);
    net::co_spawn(
        state.io,
        end_when_idle(state, now + part_of(length, accept_part), now + part_of(length, answer_part)),
        net::detached);
    for (auto& it : running.workers) {
        it.join();
    }
    common::log_info("stopped", {field("calls", state.calls.load())});
}

} // namespace lycheegap::gateway
