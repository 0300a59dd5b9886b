#include "gateway.h"

#include <condition_variable>
#include <mutex>

#include "caller_connection.h"
#include "connection_pool.h"
#include "core/common/last_reason.h"
#include "core/common/log.h"
#include "core/transport/listen_socket.h"
#include "limit_notices.h"
#include "load_exchange.h"
#include "region_table.h"
#include "request_reader.h"
#include "task.h"
#include "team_rates.h"

namespace lycheegap::gateway {

namespace {

using common::field;
using common::milliseconds;
using common::monotonic;

constexpr milliseconds maintenance_interval{250};
constexpr milliseconds drain_poll_interval{25};

/// Whether a stop has come so far that idle connections of callers are closed.
bool closes_idle_connections(gateway_state& state) {
    const auto plan = current_stop_plan(state);
    return plan && monotonic::now() >= plan->idle_close_at;
}

/// Periodic maintenance: prunes connections, answers expired mirror queries, tracks which teams this host is
/// home of, divides services over the regions, and removes endpoints and former members that are due.
awaitable<void> run_maintenance(gateway_state& state) {
    net::steady_timer timer(state.io);
    while (true) {
        co_await wait_until(timer, monotonic::now() + maintenance_interval);
        prune_caller_connections(state, closes_idle_connections(state));
        end_slow_bodies(state);
        prune_endpoint_connections(state);
        answer_expired_waiters(state.mirror);
        expire_members(state);
        expire_vacated_domains(state);
        update_rate_rights(state);
        update_regions(state);
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

void close_listener(const std::shared_ptr<tcp::acceptor>& listener) {
    net::post(listener->get_executor(), [listener] {
        error_code ec;
        listener->close(ec);
    });
}

/// Runs `step` on a worker at `due`.
awaitable<void> run_at(gateway_state& state, common::time_point due, std::function<void()> step) {
    net::steady_timer timer(state.io);
    co_await wait_until(timer, due);
    step();
}

/// Stops the I/O context, which ends the workers, once nothing is in flight or may still arrive, but not
/// before `plan.intake_end`, and at `plan.flush_end` in any case.
awaitable<void> stop_when_drained(gateway_state& state, traffic::stop_plan plan) {
    net::steady_timer timer(state.io);
    co_await wait_until(timer, plan.intake_end);
    traffic::drain_progress progress;
    bool drained = false;
    while (!traffic::may_end(plan, progress, monotonic::now())) {
        co_await wait_until(timer, monotonic::now() + drain_poll_interval);
        const int in_flight = state.requests_in_flight;
        if (in_flight == 0) {
            // Connections that were accepted while the listener was being closed, and those that had to stay
            // open.
            end_intake(state);
        }
        if (!drained && monotonic::now() >= plan.drain_end) {
            drained = true;
            give_up_calls(state);
        }
        traffic::note_in_flight(progress, in_flight, monotonic::now());
    }
    state.io.stop();
}

} // namespace

std::unique_ptr<running_gateway> start_gateway(gateway_options options) {
    const auto address = transport::split_address(options.request_address);
    if (!address) {
        common::fail(common::step::listen, options.request_address, "not an IPv4 address and port");
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
    spawn_permanent_task(state, running->listener->get_executor(), "accept_callers",
                         [&state, listener = running->listener] { return accept_callers(state, listener); });
    spawn_permanent_task(state, state.io.get_executor(), "run_maintenance",
                         [&state] { return run_maintenance(state); });
    spawn_permanent_task(state, state.io.get_executor(), "exchange_loads",
                         [&state] { return exchange_loads(state); });
    spawn_permanent_task(state, state.io.get_executor(), "share_limits",
                         [&state] { return share_limits(state); });
    for (int n = 0; n < state.options.workers; ++n) {
        running->workers.emplace_back([&state] { run_handlers(state); });
    }
    common::log_info("listening", {field("callers", state.options.request_address)});
    return running;
}

void stop_gateway(running_gateway& running) {
    auto& state = *running.state;
    const auto plan = traffic::plan_stop(monotonic::now(), state.options.stop_time);
    {
        const std::lock_guard guard(state.stop.mutex);
        state.stop.plan = plan;
    }
    state.stopping = true;
    common::log_info("stop_begun", {field("calls", state.requests_in_flight.load())});
    const auto executor = state.io.get_executor();
    spawn_permanent_task(state, executor, "close_idle", [&state, plan] {
        return run_at(state, plan.idle_close_at, [&state] { prune_caller_connections(state, true); });
    });
    spawn_permanent_task(state, executor, "end_intake", [&state, plan, listener = running.listener] {
        return run_at(state, plan.intake_end, [listener, &state] {
            close_listener(listener);
            end_intake(state);
        });
    });
    spawn_permanent_task(state, executor, "stop_when_drained",
                         [&state, plan] { return stop_when_drained(state, plan); });
    for (auto& it : running.workers) {
        it.join();
    }
    common::log_info("stopped", {field("calls", state.requests_in_flight.load())});
}

} // namespace lycheegap::gateway
