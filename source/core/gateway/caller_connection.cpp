#include "caller_connection.h"

#include <algorithm>
#include <iterator>
#include <mutex>

#include <boost/asio/write.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/write.hpp>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/socket.h>

#include "core/common/log.h"
#include "refusal.h"
#include "serve_call.h"

namespace lycheegap::gateway {

namespace {

using common::field;
using common::milliseconds;
using common::monotonic;

// Requests of one connection that are served at once; further ones stay in the socket.
constexpr std::size_t pipeline_depth = 8;
// A body must have arrived within this time.
constexpr milliseconds body_time{30000};
// A caller that does not read its answer holds memory no longer than this.
constexpr milliseconds write_time{10000};
// Time for a caller to take the last answer before its connection is closed.
constexpr milliseconds linger_time{800};
// Pause after an accept that failed for want of descriptors.
constexpr milliseconds accept_pause{100};

using caller_parser = http::request_parser<http::string_body>;

void set_read_due(caller_connection& it, milliseconds from_now) {
    it.read_due = (monotonic::now() + from_now).time_since_epoch().count();
}

void clear_read_due(caller_connection& it) {
    it.read_due = 0;
}

void wake(caller_connection& it) {
    it.changed.cancel();
}

/// Reader and writer may both wait. The expiry is not set again, since that would wake the other one.
awaitable<void> wait_for_change(caller_connection& it) {
    error_code ec;
    co_await it.changed.async_wait(keep_error(ec));
}

void abandon_all(caller_connection& it) {
    it.gone = true;
    for (const auto& one : it.calls) {
        abandon_call(*one);
    }
    error_code ec;
    it.socket.close(ec);
    wake(it);
}

traffic::caller_limits limits_of(gateway_state& state) {
    const auto config = current_configuration(state);
    return config ? config->limits : traffic::caller_limits{};
}

void add_call(caller_connection& it, call_ptr added) {
    it.calls.push_back(std::move(added));
    it.idle = false;
    wake(it);
}

/// Queues an answer of this host's own behind those under way, and ends the connection with it.
void answer_and_end(gateway_state& state, caller_connection& it, const refusal& why) {
    const auto added = std::make_shared<call>();
    added->arrived_at = monotonic::now();
    added->answer = make_refusal(why, added->request);
    it.ending = true;
    common::count(state.metrics, "requests_malformed");
    if (may_log(state)) {
        common::log_info("request_malformed", {field("status", why.status), field("reason", why.reason)});
    }
    add_call(it, added);
}

refusal refusal_of(const error_code& ec) {
    if (ec == http::error::header_limit) {
        return {.status = 431, .reason = "head_too_large"};
    }
    if (ec == http::error::body_limit) {
        return {.status = 413, .reason = "body_too_large"};
    }
    return {.status = 400, .reason = "malformed"};
}

bool is_protocol_error(const error_code& ec) {
    return ec.category() == make_error_code(http::error::bad_method).category() &&
           ec != http::error::end_of_stream && ec != http::error::partial_message;
}

/// A head that another program could read in another way might smuggle a second request.
bool is_ambiguous(const request_message& head) {
    const auto repeated = [&](http::field name) {
        const auto range = head.equal_range(name);
        return std::distance(range.first, range.second) > 1;
    };
    return repeated(http::field::host) || repeated(http::field::content_length) ||
           repeated(http::field::transfer_encoding) ||
           (head.find(http::field::content_length) != head.end() &&
            head.find(http::field::transfer_encoding) != head.end());
}

awaitable<void> write_continue(caller_connection& it) {
    error_code ec;
    static constexpr std::string_view text = "HTTP/1.1 100 Continue\r\n\r\n";
    co_await net::async_write(it.socket, net::buffer(text), keep_error(ec));
}

/// Reads one request. Empty at the end of the connection or when it was refused as malformed.
awaitable<call_ptr> read_call(gateway_state& state, caller_connection& it) {
    const auto limits = limits_of(state);
    error_code ec;
    if (it.input.size() == 0) {
        co_await it.socket.async_wait(tcp::socket::wait_read, keep_error(ec));
    }
    set_read_due(it, limits.head_time);
    caller_parser parser;
    parser.header_limit(limits.head_bytes);
    parser.body_limit(limits.body_bytes);
    co_await http::async_read_header(it.socket, it.input, parser, keep_error(ec));
    const auto arrived_at = monotonic::now();
    if (!ec && is_ambiguous(parser.get())) {
        ec = http::error::bad_content_length;
    }
    if (!ec && !parser.is_done()) {
        set_read_due(it, body_time);
        const auto expects = parser.get().find(http::field::expect);
        if (expects != parser.get().end() && it.calls.empty()) {
            co_await write_continue(it);
        }
        co_await http::async_read(it.socket, it.input, parser, keep_error(ec));
    }
    if (ec) {
        if (is_protocol_error(ec)) {
            answer_and_end(state, it, refusal_of(ec));
        } else {
            abandon_all(it);
        }
        co_return nullptr;
    }
    const auto read = std::make_shared<call>();
    read->request = parser.release();
    read->arrived_at = arrived_at;
    co_return read;
}

/// Reads and drops what still comes, so that closing does not reset the connection under the last answer.
awaitable<void> drain_input(caller_connection& it) {
    error_code ec;
    while (!ec && !it.gone) {
        it.input.clear();
        const auto n = co_await it.socket.async_read_some(it.input.prepare(4096), keep_error(ec));
        it.input.commit(n);
    }
    if (!it.gone) {
        abandon_all(it);
    }
}

/// Whether the caller has closed the connection, also while requests that it sent before lie unread.
bool has_left(caller_connection& it) {
    pollfd one{it.socket.native_handle(), POLLRDHUP, 0};
    return poll(&one, 1, 0) > 0 && (one.revents & (POLLRDHUP | POLLHUP | POLLERR)) != 0;
}

awaitable<void> read_calls(gateway_state& state, caller_ptr it) {
    while (!it->gone && !it->ending) {
        it->full = it->calls.size() >= pipeline_depth;
        if (it->full) {
            co_await wait_for_change(*it);
            continue;
        }
        if (it->calls.empty()) {
            set_read_due(*it, limits_of(state).idle_time);
        } else {
            clear_read_due(*it);
        }
        const auto read = co_await read_call(state, *it);
        clear_read_due(*it);
        if (!read || it->ending || it->gone) {
            // What was read behind the last answer counts as not read.
            break;
        }
        if (has_left(*it)) {
            // The request waited unread until its caller gave up.
            common::count(state.metrics, "requests_left_unread");
            abandon_all(*it);
            break;
        }
        it->ending = !read->request.keep_alive();
        add_call(*it, read);
        ++state.calls;
        net::co_spawn(it->strand, serve_call(state, it, read), net::detached);
    }
    co_await drain_input(*it);
    --state.open_callers;
}

/// Callers that retry leave their old connections open, and descriptors run out under a burst.
bool is_crowded(const gateway_state& state) {
    return state.open_callers > state.options.caller_limit / 2;
}

/// Whether the connection closes with the answer to its first call.
bool closes_now(const gateway_state& state, const caller_connection& it) {
    return it.calls.size() == 1 && (it.ending || state.stopping || is_crowded(state));
}

awaitable<bool> write_first(gateway_state& state, caller_connection& it) {
    const auto first = it.calls.front();
    const bool closes = closes_now(state, it);
    if (closes) {
        it.ending = true;
    }
    first->answer->keep_alive(!closes);
    if (first->request.version() < 11) {
        first->answer->version(first->request.version());
    }
    error_code ec;
    set_read_due(it, write_time);
    co_await http::async_write(it.socket, *first->answer, keep_error(ec));
    it.calls.pop_front();
    if (ec) {
        co_return false;
    }
    if (it.calls.empty()) {
        it.idle_since = monotonic::now().time_since_epoch().count();
        it.idle = true;
        set_read_due(it, limits_of(state).idle_time);
    } else {
        clear_read_due(it);
    }
    wake(it);
    co_return !closes;
}

awaitable<void> write_answers(gateway_state& state, caller_ptr it) {
    while (!it->gone) {
        if (it->calls.empty() || !it->calls.front()->answer) {
            co_await wait_for_change(*it);
            continue;
        }
        const bool goes_on = co_await write_first(state, *it);
        if (!goes_on) {
            break;
        }
    }
    if (it->gone) {
        co_return;
    }
    error_code ec;
    it->socket.shutdown(tcp::socket::shutdown_send, ec);
    set_read_due(*it, linger_time);
}

void start_connection(gateway_state& state, tcp::socket socket, const connection_strand& strand) {
    const auto it = std::make_shared<caller_connection>(strand);
    it->socket = std::move(socket);
    error_code ec;
    it->socket.set_option(tcp::no_delay(true), ec);
    set_read_due(*it, limits_of(state).idle_time);
    it->idle_since = monotonic::now().time_since_epoch().count();
    ++state.open_callers;
    {
        const std::lock_guard guard(state.callers.mutex);
        state.callers.open.push_back(it);
    }
    common::count(state.metrics, "caller_connections");
    net::co_spawn(strand, read_calls(state, it), net::detached);
    net::co_spawn(strand, write_answers(state, it), net::detached);
}

bool is_overdue(const caller_connection& it, common::time_point now) {
    const auto due = it.read_due.load();
    return due != 0 && due <= now.time_since_epoch().count();
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

/// The longest idle connections, as many as are open beyond three quarters of the limit.
std::vector<caller_ptr> surplus(const gateway_state& state, const std::vector<caller_ptr>& open) {
    const int allowed = state.options.caller_limit * 3 / 4;
    std::vector<caller_ptr> idle;
    if (state.open_callers <= allowed) {
        return idle;
    }
    std::copy_if(open.begin(), open.end(), std::back_inserter(idle),
                 [](const auto& it) { return it->idle.load(); });
    std::sort(idle.begin(), idle.end(),
              [](const auto& a, const auto& b) { return a->idle_since.load() < b->idle_since.load(); });
    idle.resize(std::min(idle.size(), static_cast<std::size_t>(state.open_callers - allowed)));
    return idle;
}

void close_overdue(const caller_ptr& it, bool close_idle) {
    const bool overdue = is_overdue(*it, monotonic::now());
    const bool unused = close_idle && it->calls.empty() && !it->ending;
    if (!it->gone && unused) {
        // The reader goes on and drops what crosses the close.
        it->ending = true;
        error_code ec;
        it->socket.shutdown(tcp::socket::shutdown_send, ec);
        set_read_due(*it, linger_time);
        return;
    }
    // The reader waits for room, not for the caller's close, while the pipeline is full.
    const bool left_behind = it->calls.size() >= pipeline_depth && !it->gone && has_left(*it);
    if (!it->gone && (overdue || left_behind)) {
        abandon_all(*it);
    }
}

} // namespace

awaitable<void> accept_callers(gateway_state& state, std::shared_ptr<tcp::acceptor> listener) {
    net::steady_timer pause(state.io);
    while (listener->is_open()) {
        const auto strand = net::make_strand(state.io);
        tcp::socket socket(strand);
        error_code ec;
        co_await listener->async_accept(socket, keep_error(ec));
        if (!ec) {
            start_connection(state, std::move(socket), strand);
        } else if (listener->is_open()) {
            common::log_warning("accept_failed", {field("reason", ec.message())});
            co_await wait_until(pause, monotonic::now() + accept_pause);
        }
    }
}

void sweep_callers(gateway_state& state, bool close_idle) {
    const auto now = monotonic::now();
    const auto open = open_callers(state);
    for (const auto& it : open) {
        if (is_overdue(*it, now) || it->full || (close_idle && it->idle)) {
            net::post(it->strand, [it, close_idle] { close_overdue(it, close_idle); });
        }
    }
    for (const auto& it : surplus(state, open)) {
        net::post(it->strand, [it] { close_overdue(it, true); });
    }
}

} // namespace lycheegap::gateway
