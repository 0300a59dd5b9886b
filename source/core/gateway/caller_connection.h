#pragma once

#include <atomic>
#include <deque>
#include <memory>

#include "call.h"
#include "gateway_state.h"
#include "net.h"

namespace lycheegap::gateway {

/// A connection of a caller. Requests are served at once and answered in the order of their arrival.
struct caller_connection {
    explicit caller_connection(const connection_strand& executor)
        : strand(executor), socket(executor), changed(executor, common::time_point::max()) {}

    connection_strand strand;
    tcp::socket socket;
    beast::flat_buffer input;
    /// Read and not answered yet.
    std::deque<call_ptr> calls;
    /// Wakes reader and writer when `calls` or a flag has changed.
    net::steady_timer changed;
    /// No further request is read; the connection closes after the last answer.
    bool ending{false};
    bool gone{false};
    /// Nothing has arrived and nothing is under way.
    std::atomic<bool> idle{true};
    /// As many requests are under way as are served at once.
    std::atomic<bool> full{false};
    /// Moment from which it has been idle; ticks of the monotonic clock.
    std::atomic<common::monotonic::rep> idle_since{0};
    /// The connection is closed when the next byte has not come by then; ticks of the monotonic clock.
    std::atomic<common::monotonic::rep> read_due{0};
};

using caller_ptr = std::shared_ptr<caller_connection>;

/// Accepts connections until the listener is closed.
awaitable<void> accept_callers(gateway_state& state, std::shared_ptr<tcp::acceptor> listener);

/// Closes connections that have been silent for too long, and the longest idle ones when too many are open;
/// at a planned stop all idle ones.
void sweep_callers(gateway_state& state, bool close_idle);

} // namespace lycheegap::gateway
