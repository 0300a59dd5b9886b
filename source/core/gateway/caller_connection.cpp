#include "caller_connection.h"

#include <algorithm>
#include <iterator>
#include <mutex>
#include <utility>

#include <boost/beast/http/write.hpp>
#include <linux/sockios.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/ioctl.h>
#include <sys/socket.h>

#include "core/common/log.h"
#include "request_reader.h"
#include "serve_call.h"
#include "task.h"

namespace lycheegap::gateway {

namespace {

using common::field;
using common::milliseconds;
using common::monotonic;

constexpr unsigned int status_unavailable = 503;
// Requests of one connection that are served concurrently; further ones stay unread in the socket.
constexpr std::size_t pipeline_depth = 8;
// Time for a caller to read the last response before its connection is closed.
constexpr milliseconds linger_timeout{800};
// Delay after a failed accept, usually for lack of file descriptors.
constexpr milliseconds accept_retry_delay{100};

void clear_io_deadline(caller_connection& it) {
    it.io_deadline = 0;
}

void signal_change(caller_connection& it) {
    it.change_signal.cancel();
}

/// Waits until `change_signal` is cancelled. Reader and writer may wait at the same time; the expiry must not
/// be set here, since that would cancel the other one's wait.
awaitable<void> wait_for_change(caller_connection& it) {
    error_code ec;
    co_await it.change_signal.async_wait(keep_error(ec));
}

/// Closes the socket and abandons all requests of the connection, unless that is done.
void abort_connection(caller_connection& it) {
    if (std::exchange(it.closed, true)) {
        return;
    }
    for (const auto& one : it.calls) {
        abandon_call(*one);
    }
    error_code ec;
    it.socket.close(ec);
    signal_change(it);
}

void add_call(caller_connection& it, call_ptr added) {
    it.calls.push_back(std::move(added));
    it.idle = false;
    signal_change(it);
}

/// Queues an error response behind those in flight and closes the connection after it.
void refuse_and_close(gateway_state& state, caller_connection& it, const refusal& why) {
    const auto added = std::make_shared<call>();
    added->arrived_at = monotonic::now();
    added->response = make_refusal(why, added->request);
    it.closing = true;
    if (why.status == status_unavailable) {
        add_call(it, added);
        return;
    }
    common::count(state.metrics, "requests_malformed");
    if (may_log(state)) {
        common::log_info("request_malformed", {field("status", why.status), field("reason", why.reason)});
    }
    add_call(it, added);
}

/// Reads and discards input until the caller closes: closing a socket with unread input would reset the
/// connection, and the caller could lose the last response.
awaitable<void> drain_input(caller_connection& it) {
    while (it.ended_for_memory && !it.closed) {
        // Its socket receives nothing any more.
        co_await wait_for_change(it);
    }
    error_code ec;
    while (!ec && !it.closed) {
        it.input.clear();
        const auto n = co_await it.socket.async_read_some(it.input.prepare(4096), keep_error(ec));
        it.input.commit(n);
    }
    if (!it.closed) {
        abort_connection(it);
    }
}

/// Whether the caller has closed the connection, even if input from before is still unread.
bool has_hung_up(caller_connection& it) {
    pollfd one{it.socket.native_handle(), POLLRDHUP, 0};
    return poll(&one, 1, 0) > 0 && (one.revents & (POLLRDHUP | POLLHUP | POLLERR)) != 0;
}

/// Stops counting the connection as open.
void uncount(gateway_state& state, caller_connection& it) {
    if (std::exchange(it.counted, false)) {
        --state.open_callers;
    }
}

/// Reader of a connection: reads requests and starts to serve them until the connection closes.
awaitable<void> read_calls(gateway_state& state, caller_ptr it) {
    while (!it->closed && !it->closing) {
        it->pipeline_full = it->calls.size() >= pipeline_depth;
        if (it->pipeline_full) {
            co_await wait_for_change(*it);
            continue;
        }
        if (it->calls.empty()) {
            set_io_deadline(*it, monotonic::now() + limits_of(state).idle_time);
        } else {
            clear_io_deadline(*it);
        }
        const auto outcome = co_await read_call(state, *it);
        const auto& read = outcome.read;
        clear_io_deadline(*it);
        it->reading = false;
        if (outcome.refused) {
            refuse_and_close(state, *it, *outcome.refused);
        } else if (!read) {
            abort_connection(*it);
        }
        if (!read || it->closing || it->closed) {
            // A request read after the connection began to close is not served.
            break;
        }
        if (has_hung_up(*it)) {
            // The caller disconnected while its request was waiting unread in the socket.
            common::count(state.metrics, "requests_left_unread");
            abort_connection(*it);
            break;
        }
        it->closing = it->closes_after_reading || !read->request.keep_alive();
        add_call(*it, read);
        spawn_task(state, it->strand, "serve_call", serve_call(state, it, read),
                   [&state, it, read] { give_up_call(state, *it, *read, give_up_reason::internal_error); });
    }
    co_await drain_input(*it);
    uncount(state, *it);
}

/// Above half of the connection limit, responses ask callers to close: callers that retry leave their old
/// connections open, and a burst would exhaust the file descriptors.
bool is_above_soft_limit(const gateway_state& state) {
    return state.open_callers > state.options.max_caller_connections / 2;
}

/// Whether the connection closes after the response to its oldest request.
bool closes_after_response(const gateway_state& state, const caller_connection& it) {
    return it.calls.size() == 1 && (it.closing || state.stopping || is_above_soft_limit(state));
}

/// Writes the response to the oldest request; false when the connection closes after it or the write failed.
awaitable<bool> write_next_response(gateway_state& state, caller_connection& it) {
    const auto first = it.calls.front();
    const bool closes = closes_after_response(state, it);
    if (closes) {
        it.closing = true;
    }
    it.writing_open = !closes && it.calls.size() == 1;
    first->response->keep_alive(!closes);
    if (first->request.version() < 11) {
        first->response->version(first->request.version());
    }
    error_code ec;
    set_io_deadline(it, monotonic::now() + state.options.write_time);
    co_await http::async_write(it.socket, *first->response, keep_error(ec));
    it.writing_open = false;
    it.calls.pop_front();
    if (ec) {
        co_return false;
    }
    if (it.calls.empty()) {
        it.idle_since = monotonic::now().time_since_epoch().count();
        it.idle = true;
        set_io_deadline(it, monotonic::now() + limits_of(state).idle_time);
    } else {
        clear_io_deadline(it);
    }
    signal_change(it);
    co_return !closes;
}

/// Writer of a connection: writes responses in the order of the requests until the connection closes.
awaitable<void> write_responses(gateway_state& state, caller_ptr it) {
    while (!it->closed) {
        if (it->calls.empty() || !it->calls.front()->response) {
            co_await wait_for_change(*it);
            continue;
        }
        const bool stays_open = co_await write_next_response(state, *it);
        if (!stays_open) {
            break;
        }
    }
    if (it->closed) {
        co_return;
    }
    error_code ec;
    it->socket.shutdown(tcp::socket::shutdown_send, ec);
    set_io_deadline(*it, monotonic::now() + linger_timeout);
}

void start_connection(gateway_state& state, tcp::socket socket, const connection_strand& strand) {
    const auto it = std::make_shared<caller_connection>(strand);
    it->input_memory = transport::memory_reservation(&state.call_memory);
    it->socket = std::move(socket);
    error_code ec;
    it->socket.set_option(tcp::no_delay(true), ec);
    set_io_deadline(*it, monotonic::now() + limits_of(state).idle_time);
    it->idle_since = monotonic::now().time_since_epoch().count();
    ++state.open_callers;
    {
        const std::lock_guard guard(state.callers.mutex);
        state.callers.open.push_back(it);
    }
    common::count(state.metrics, "caller_connections");
    spawn_task(state, strand, "read_calls", read_calls(state, it), [&state, it] {
        abort_connection(*it);
        uncount(state, *it);
    });
    spawn_task(state, strand, "write_responses", write_responses(state, it), [it] { abort_connection(*it); });
}

bool is_overdue(const caller_connection& it, common::time_point now) {
    const auto due = it.io_deadline.load();
    return due != 0 && due <= now.time_since_epoch().count();
}

/// The longest idle connections, as many as exceed three quarters of the connection limit.
std::vector<caller_ptr> surplus_idle_connections(const gateway_state& state,
                                                 const std::vector<caller_ptr>& open) {
    const int allowed = state.options.max_caller_connections * 3 / 4;
    std::vector<caller_ptr> idle;
    if (state.open_callers <= allowed) {
        return idle;
    }
    std::copy_if(open.begin(), open.end(), std::back_inserter(idle),
                 [](const auto& it) { return it->idle && it->body_held == 0; });
    std::sort(idle.begin(), idle.end(),
              [](const auto& a, const auto& b) { return a->idle_since.load() < b->idle_since.load(); });
    idle.resize(std::min(idle.size(), static_cast<std::size_t>(state.open_callers - allowed)));
    return idle;
}

/// Whether input has arrived that the reader has not taken yet.
bool has_unread_input(caller_connection& it) {
    char byte = 0;
    return it.input.size() > 0 || recv(it.socket.native_handle(), &byte, 1, MSG_PEEK | MSG_DONTWAIT) > 0;
}

/// Whether a part of the last response has not reached the caller's machine.
bool has_unsent_output(caller_connection& it) {
    int n = 0;
    return ioctl(it.socket.native_handle(), SIOCOUTQ, &n) == 0 && n > 0;
}

/// Whether the connection has no request, as far as this host can know.
bool is_unused(const caller_connection& it) {
    return it.calls.empty() && !it.reading && !it.closing && !it.closed;
}

/// Closes an unused connection; false if it has to stay open for a request that has arrived, or for a
/// response that is still under way. The socket is closed at once: if it were only half-closed, requests that
/// are on their way would be read and could not be answered. One that comes after the close is never read,
/// and its caller is told by a reset.
bool close_if_unused(gateway_state& state, caller_connection& it) {
    if (!is_unused(it)) {
        return false;
    }
    if (has_unread_input(it) || has_unsent_output(it)) {
        common::count(state.metrics, "idle_closes_put_off");
        return false;
    }
    common::count(state.metrics, "idle_connections_closed");
    abort_connection(it);
    return true;
}

/// Closes the connection if its deadline has passed or its caller has left.
void close_if_stale(caller_connection& it) {
    // While the pipeline is full the reader does not read, so it would not notice that the caller has left.
    const bool abandoned = it.calls.size() >= pipeline_depth && !it.closed && has_hung_up(it);
    if (!it.closed && (is_overdue(it, monotonic::now()) || abandoned)) {
        abort_connection(it);
    }
}

/// Lets the connection read no request after which a response would not announce the close.
void end_reading(gateway_state& state, caller_connection& it) {
    if (it.closed || it.closing || close_if_unused(state, it)) {
        return;
    }
    // A caller repeats what it sent behind a response that closes the connection, but not a request that it
    // sent without knowing of the close, or of which this host has read a part.
    if (it.calls.empty() || it.writing_open) {
        it.closes_after_reading = true;
        return;
    }
    it.closing = true;
    signal_change(it);
}

} // namespace

traffic::caller_limits limits_of(gateway_state& state) {
    const auto config = current_configuration(state);
    return config ? config->limits : traffic::caller_limits{};
}

void set_io_deadline(caller_connection& it, common::time_point due) {
    it.io_deadline = due.time_since_epoch().count();
}

std::vector<caller_ptr> open_callers(gateway_state& state) {
    std::vector<caller_ptr> open;
    const std::lock_guard guard(state.callers.mutex);
    std::erase_if(state.callers.open, [](const auto& it) { return it.expired(); });
    for (const auto& it : state.callers.open) {
        if (auto held = it.lock()) {
            open.push_back(std::move(held));
        }
    }
    return open;
}

awaitable<void> accept_callers(gateway_state& state, std::shared_ptr<tcp::acceptor> listener) {
    net::steady_timer pause(state.io);
    while (listener->is_open()) {
        if (state.open_callers >= state.options.max_caller_connections) {
            // Further callers wait in the listen queue until pruning has closed connections.
            common::count(state.metrics, "accept_pauses");
            co_await wait_until(pause, monotonic::now() + accept_retry_delay);
            continue;
        }
        const auto strand = net::make_strand(state.io);
        tcp::socket socket(strand);
        error_code ec;
        co_await listener->async_accept(socket, keep_error(ec));
        if (!ec) {
            start_connection(state, std::move(socket), strand);
        } else if (listener->is_open()) {
            common::log_warning("accept_failed", {field("reason", ec.message())});
            co_await wait_until(pause, monotonic::now() + accept_retry_delay);
        }
    }
}

void end_intake(gateway_state& state) {
    for (const auto& it : open_callers(state)) {
        net::post(it->strand, [&state, it] { end_reading(state, *it); });
    }
}

void give_up_calls(gateway_state& state) {
    for (const auto& it : open_callers(state)) {
        net::post(it->strand, [&state, it] {
            for (const auto& one : it->calls) {
                give_up_call(state, *it, *one, give_up_reason::stopping);
            }
        });
    }
}

void prune_caller_connections(gateway_state& state, bool close_idle) {
    const auto now = monotonic::now();
    const auto open = open_callers(state);
    for (const auto& it : open) {
        if (is_overdue(*it, now) || it->pipeline_full) {
            net::post(it->strand, [it] { close_if_stale(*it); });
        } else if (close_idle && it->idle) {
            net::post(it->strand, [&state, it] { close_if_unused(state, *it); });
        }
    }
    for (const auto& it : surplus_idle_connections(state, open)) {
        net::post(it->strand, [&state, it] {
            const bool closed = close_if_unused(state, *it);
            if (!closed && it->reading && it->calls.empty() && it->body_held == 0 && !it->closing) {
                abort_connection(*it);
            }
        });
    }
}

} // namespace lycheegap::gateway
