#pragma once

#include <atomic>
#include <deque>
#include <memory>
#include <vector>

#include "call.h"
#include "gateway_state.h"
#include "net.h"

namespace lycheegap::gateway {

/// A connection of a caller. Pipelined requests are served concurrently; responses are written in the order
/// of the requests. Accessed only on its strand, except the atomic members.
struct caller_connection {
    explicit caller_connection(const connection_strand& executor)
        : strand(executor), socket(executor), change_signal(executor, common::time_point::max()) {}

    connection_strand strand;
    tcp::socket socket;
    beast::flat_buffer input;
    /// For `input`.
    transport::memory_reservation input_memory;
    /// Requests whose response has not been written yet, oldest first.
    std::deque<call_ptr> calls;
    /// Never expires; cancelled to wake the reader and the writer when `calls`, a response or a flag changed.
    net::steady_timer change_signal;
    /// No further request is read; the connection closes after the last response.
    bool closing{false};
    /// Input of a request has arrived that has not been read in full.
    bool reading{false};
    /// The request that is read next or is being read is the last one of the connection.
    bool closes_after_reading{false};
    /// A response that keeps the connection open is being written, and no other request is in flight.
    bool writing_open{false};
    /// The socket is closed.
    bool closed{false};
    /// Counts in `gateway_state::open_callers`.
    bool counted{true};
    /// The body that is being read was ended because the memory for calls is short.
    bool ended_for_memory{false};
    /// Bytes reserved for the request whose body is being read; 0 for none.
    std::atomic<std::int64_t> body_held{0};
    std::atomic<std::int64_t> body_received{0};
    /// Deadline of that body, in ticks of the monotonic clock.
    std::atomic<common::monotonic::rep> body_due{0};
    /// Begin of the interval in which the progress of a body is measured, what had arrived then, and which
    /// body, by its deadline. Used by the periodic maintenance only.
    common::time_point marked_at;
    std::int64_t received_at_mark{0};
    common::monotonic::rep marked_due{0};
    /// No request is in flight.
    std::atomic<bool> idle{true};
    /// The limit of concurrent requests is reached; the reader has stopped reading.
    std::atomic<bool> pipeline_full{false};
    /// When the connection became idle, in ticks of the monotonic clock.
    std::atomic<common::monotonic::rep> idle_since{0};
    /// Deadline of the current read or write, in ticks of the monotonic clock; 0 for none. The connection is
    /// closed when it passes.
    std::atomic<common::monotonic::rep> io_deadline{0};
};

using caller_ptr = std::shared_ptr<caller_connection>;

/// Limits of the configuration in force.
traffic::caller_limits limits_of(gateway_state& state);

/// Sets the deadline of the current read or write.
void set_io_deadline(caller_connection& it, common::time_point due);

/// The connections that are open.
std::vector<caller_ptr> open_callers(gateway_state& state);

/// Accepts connections until the listener is closed.
awaitable<void> accept_callers(gateway_state& state, std::shared_ptr<tcp::acceptor> listener);

/// For a graceful stop: closes idle connections, and lets the others read no request behind a response that
/// announces the close. A request that has arrived, or that a caller may still send without knowing of the
/// close, is read and answered or refused.
void end_intake(gateway_state& state);

/// For a graceful stop: answers all requests that have no response yet as not run, or as perhaps run, so that
/// responses behind them can be written.
void give_up_calls(gateway_state& state);

/// Closes connections whose I/O deadline has passed or whose caller has left, and the longest idle ones when
/// too many are open. With `close_idle`, for a graceful stop, closes all idle ones.
void prune_caller_connections(gateway_state& state, bool close_idle);

} // namespace lycheegap::gateway
