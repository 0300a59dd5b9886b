#include "request_reader.h"

#include <algorithm>
#include <iterator>
#include <vector>

#include <boost/asio/write.hpp>
#include <boost/beast/http/parser.hpp>

#include "core/common/log.h"
#include "core/traffic/call_memory.h"
#include "message_headers.h"
#include "message_parser.h"

namespace lycheegap::gateway {

namespace {

using common::field;
using common::milliseconds;
using common::monotonic;

constexpr unsigned int status_unavailable = 503;
// Time after which memory is likely to be free again: about that of one large request.
constexpr milliseconds memory_retry_after{1000};
constexpr std::size_t min_read_bytes = 512;
// Input buffer while a body is read.
constexpr std::size_t body_input_bytes = 16U << 10U;
// A larger input buffer is released between requests.
constexpr std::size_t idle_input_bytes = 4U << 10U;

using caller_parser = http::request_parser<http::string_body>;

/// A request that is being read.
struct pending_read {
    explicit pending_read(memory_budget& budget) : memory(&budget) {}

    caller_parser parser;
    transport::memory_reservation memory;
    /// Bytes reserved beside the body.
    std::size_t head_memory{traffic::head_memory(0, 0)};
    std::size_t head_bytes{0};
    /// Largest input that may be buffered. A head, a chunk header and a block of trailers must fit.
    std::size_t max_input{0};
};

error_code out_of_memory() {
    return make_error_code(boost::system::errc::not_enough_memory);
}

refusal refusal_for(const pending_read& it, const error_code& ec) {
    if (ec == out_of_memory()) {
        return {.status = status_unavailable, .reason = "memory", .retry_after = memory_retry_after};
    }
    if (ec == http::error::header_limit || ec == http::error::buffer_overflow) {
        const bool in_head = !it.parser.is_header_done();
        return {.status = 431, .reason = in_head ? "head_too_large" : "trailers_too_large"};
    }
    if (ec == http::error::body_limit) {
        return {.status = 413, .reason = "body_too_large"};
    }
    return {.status = 400, .reason = "malformed"};
}

/// Whether the caller sent an invalid message, as opposed to a closed or broken connection.
bool is_protocol_error(const error_code& ec) {
    return ec.category() == make_error_code(http::error::bad_method).category() &&
           ec != http::error::end_of_stream && ec != http::error::partial_message;
}

/// Whether another HTTP parser could read the head differently, which would allow request smuggling.
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

/// Reads more input, within the bound and the memory budget.
awaitable<void> read_more(caller_connection& it, const pending_read& pending, error_code& ec) {
    const auto size = it.input.size();
    const auto room = pending.max_input - std::min(size, pending.max_input);
    const auto n = std::min(room, std::max(min_read_bytes, it.input.capacity() - size));
    if (n == 0) {
        ec = http::error::buffer_overflow;
        co_return;
    }
    // While the buffer grows, the former one is held too.
    if (!transport::reserve_memory(it.input_memory, std::max(it.input.capacity(), 2 * (size + n)))) {
        ec = out_of_memory();
        co_return;
    }
    const auto received = co_await it.socket.async_read_some(it.input.prepare(n), keep_error(ec));
    it.input.commit(received);
    if (it.ended_for_memory) {
        ec = out_of_memory();
    }
}

awaitable<void> read_head(caller_connection& it, pending_read& pending, error_code& ec) {
    if (!transport::reserve_memory(pending.memory, pending.head_memory)) {
        ec = out_of_memory();
    }
    while (!ec && !pending.parser.is_header_done()) {
        pending.head_bytes += parse_input(pending.parser, it.input, ec);
        if (ec == http::error::need_more) {
            ec = {};
            co_await read_more(it, pending, ec);
        }
    }
}

/// Reserves the memory of the parsed head and of a body whose length is announced.
bool reserve_request(pending_read& pending) {
    const auto& head = pending.parser.get();
    pending.head_memory = traffic::head_memory(pending.head_bytes, std::distance(head.begin(), head.end()));
    const auto announced = pending.parser.content_length();
    return transport::reserve_memory(pending.memory, pending.head_memory + announced.value_or(0));
}

/// Makes room in a body of unknown length for the input that is buffered.
bool grow_body(caller_connection& it, pending_read& pending, std::size_t body_limit) {
    auto& body = pending.parser.get().body();
    const auto more = std::min(it.input.size(), body_limit - std::min(body.size(), body_limit));
    const auto capacity = traffic::grown_body_capacity(body.size(), body.capacity(), more, body_limit);
    if (capacity <= body.capacity()) {
        return true;
    }
    // While the body is moved, both buffers are held.
    if (!transport::reserve_memory(pending.memory,
                                   pending.head_memory + std::max(capacity, 2 * body.size()))) {
        return false;
    }
    body.reserve(capacity);
    it.body_held = pending.memory.held;
    return true;
}

awaitable<void> read_body(caller_connection& it, pending_read& pending, std::size_t body_limit,
                          error_code& ec) {
    const bool has_length = pending.parser.content_length().has_value();
    while (!ec && !pending.parser.is_done()) {
        if (!has_length && !grow_body(it, pending, body_limit)) {
            ec = out_of_memory();
            break;
        }
        it.body_received += static_cast<std::int64_t>(parse_input(pending.parser, it.input, ec));
        if (ec == http::error::need_more) {
            ec = {};
            co_await read_more(it, pending, ec);
        }
    }
}

awaitable<void> write_continue(caller_connection& it) {
    error_code ec;
    static constexpr std::string_view text = "HTTP/1.1 100 Continue\r\n\r\n";
    co_await net::async_write(it.socket, net::buffer(text), keep_error(ec));
}

/// Reads the body after the head, by its deadline.
awaitable<void> read_rest(gateway_state& state, caller_connection& it, pending_read& pending,
                          std::size_t body_limit, error_code& ec) {
    const auto due = monotonic::now() + state.options.body_time;
    set_io_deadline(it, due);
    const auto& head = pending.parser.get();
    if (head.find(http::field::expect) != head.end() && it.calls.empty()) {
        co_await write_continue(it);
    }
    const auto announced = pending.parser.content_length();
    if (announced) {
        pending.max_input = std::max(pending.max_input, body_input_bytes);
    }
    const auto input = std::min<std::uint64_t>(announced.value_or(body_input_bytes),
                                               std::min(pending.max_input, body_input_bytes));
    if (input > it.input.capacity() &&
        transport::reserve_memory(it.input_memory, it.input.capacity() + input)) {
        it.input.reserve(input);
    }
    it.body_received = 0;
    it.body_due = due.time_since_epoch().count();
    it.body_held = pending.memory.held;
    co_await read_body(it, pending, body_limit, ec);
    it.body_held = 0;
}

/// Releases the input buffer between requests if it is large.
void release_input(caller_connection& it) {
    if (it.input.size() == 0 && it.input.capacity() > idle_input_bytes) {
        it.input.clear();
        it.input.shrink_to_fit();
    }
    const auto kept = it.input.capacity() > idle_input_bytes ? it.input.capacity() : 0;
    transport::trim_memory(it.input_memory, kept);
}

void log_memory_refusal(gateway_state& state, const caller_connection& it, const pending_read& pending) {
    common::count(state.metrics, it.ended_for_memory ? "bodies_ended_for_memory" : "requests_without_memory");
    if (!may_log(state)) {
        return;
    }
    const auto& budget = state.call_memory;
    common::log_info("memory_refused",
                     {field("ended", it.ended_for_memory), field("held", pending.memory.held),
                      field("announced", pending.parser.content_length().value_or(0)),
                      field("received", it.body_received.load()), field("used", budget.used.load()),
                      field("limit", budget.limit), field("holders", budget.holders.load())});
}

call_ptr finish_call(pending_read& pending, common::time_point arrived_at) {
    auto read = std::make_shared<call>();
    read->request = pending.parser.release();
    const auto body = std::make_shared<held_body>();
    body->bytes = std::move(read->request.body());
    read->request.body().clear();
    body->memory = std::move(pending.memory);
    read->body = body;
    read->arrived_at = arrived_at;
    return read;
}

/// The state of the body that is being read, with the begin of the interval of its progress. Begins the next
/// interval if this one has passed.
traffic::unfinished_body measure_body(caller_connection& it, common::time_point now) {
    const auto due = it.body_due.load();
    const auto received = it.body_received.load();
    if (it.marked_due != due) {
        it.marked_due = due;
        it.marked_at = now;
        it.received_at_mark = received;
    }
    const traffic::unfinished_body body{.held = it.body_held,
                                        .received = received,
                                        .received_at_mark = it.received_at_mark,
                                        .marked_at = it.marked_at,
                                        .due = common::time_point(monotonic::duration(due))};
    if (now - it.marked_at >= traffic::progress_interval) {
        it.marked_at = now;
        it.received_at_mark = received;
    }
    return body;
}

void end_body(caller_connection& it) {
    if (it.body_held == 0) {
        return;
    }
    it.ended_for_memory = true;
    // Ends the current read; responses to earlier requests can still be written.
    error_code ec;
    it.socket.shutdown(tcp::socket::shutdown_receive, ec);
}

} // namespace

awaitable<read_outcome> read_call(gateway_state& state, caller_connection& it) {
    const auto limits = limits_of(state);
    error_code ec;
    if (it.input.size() == 0) {
        co_await it.socket.async_wait(tcp::socket::wait_read, keep_error(ec));
    }
    it.reading = !ec;
    // Counts from its first byte, so that a graceful stop waits for the rest of a request that it lets
    // arrive.
    auto mark = ec ? nullptr : std::make_unique<in_flight_mark>(state.requests_in_flight);
    set_io_deadline(it, monotonic::now() + limits.head_time);
    pending_read pending(state.call_memory);
    pending.parser.header_limit(limits.head_bytes);
    pending.parser.body_limit(limits.body_bytes);
    pending.max_input = std::max<std::size_t>(limits.head_bytes, min_read_bytes);
    if (!ec) {
        co_await read_head(it, pending, ec);
    }
    const auto arrived_at = monotonic::now();
    if (!ec && is_ambiguous(pending.parser.get())) {
        ec = http::error::bad_content_length;
    }
    if (!ec && !reserve_request(pending)) {
        ec = out_of_memory();
    }
    if (!ec && !pending.parser.is_done()) {
        co_await read_rest(state, it, pending, limits.body_bytes, ec);
    }
    release_input(it);
    if (!ec) {
        auto read = finish_call(pending, arrived_at);
        read->in_flight = std::move(mark);
        co_return read_outcome{std::move(read), {}};
    }
    if (ec == out_of_memory()) {
        log_memory_refusal(state, it, pending);
    }
    if (ec == out_of_memory() || is_protocol_error(ec)) {
        co_return read_outcome{nullptr, refusal_for(pending, ec)};
    }
    co_return read_outcome{};
}

void end_slow_bodies(gateway_state& state) {
    const auto now = monotonic::now();
    std::vector<caller_ptr> callers;
    std::vector<traffic::unfinished_body> bodies;
    for (auto& it : open_callers(state)) {
        if (it->body_held != 0) {
            bodies.push_back(measure_body(*it, now));
            callers.push_back(std::move(it));
        }
    }
    const auto& budget = state.call_memory;
    for (const auto n : traffic::choose_ended_bodies(bodies, budget.used, budget.limit, now)) {
        net::post(callers[n]->strand, [it = callers[n]] { end_body(*it); });
    }
}

} // namespace lycheegap::gateway
