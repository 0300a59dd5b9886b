#include "endpoint_exchange.h"

#include <algorithm>
#include <charconv>

#include <boost/beast/core/read_size.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/write.hpp>
#include <fmt/format.h>
#include <netinet/tcp.h>
#include <sys/socket.h>

#include "core/traffic/call_memory.h"
#include "core/transport/listen_socket.h"
#include "message_parser.h"

namespace lycheegap::gateway {

namespace {

constexpr std::uint32_t max_response_header_bytes = 65536;
// Responses that one exchange discards before it gives up: late ones to earlier requests, and informational
// (1xx) ones.
constexpr int max_stray_responses = 3;
// Largest body of a discarded response.
constexpr std::uint64_t max_stray_body_bytes = 1U << 20U;
// TCP_USER_TIMEOUT: the connection fails when sent bytes stay unacknowledged for this long. Longer than two
// round trips between regions and one retransmission.
constexpr int tcp_user_timeout_ms = 1500;
// TCP keepalive detects a broken connection while the endpoint is still working on the request and no bytes
// are sent: the first probe after one second, then one each second.
constexpr int keepalive_idle_s = 1;
constexpr int keepalive_interval_s = 1;
constexpr int keepalive_probes = 3;
// Idle timeout for an endpoint that sends no Keep-Alive header.
constexpr common::milliseconds default_idle_timeout{4000};
// Upper bound of the idle timeout: the longer a connection is idle, the likelier it has broken unnoticed.
constexpr common::milliseconds max_idle_timeout{6000};
// Subtracted from the endpoint's idle timeout, since that timer goes on while the next request is in transit.
constexpr common::milliseconds idle_margin{1200};
// Bytes of a response's framing, such as chunk headers, in addition to one for each byte of its body.
constexpr std::size_t max_framing_bytes = 1U << 20U;
// Largest single read of a response.
constexpr std::size_t max_read_bytes = 64U << 10U;
// Input buffer while a body is read.
constexpr std::size_t body_input_bytes = 16U << 10U;
// A larger input buffer is released between exchanges.
constexpr std::size_t idle_input_bytes = 4U << 10U;
// A request with a longer body is written while the response is read, since the endpoint may respond before
// it has read the body.
constexpr std::size_t max_inline_body_bytes = 4096;

void set_option(int fd, int level, int name, int value) {
    // If the option is refused, the system's longer timeouts apply.
    setsockopt(fd, level, name, &value, sizeof value);
}

void set_socket_options(int fd) {
    set_option(fd, IPPROTO_TCP, TCP_NODELAY, 1);
    set_option(fd, IPPROTO_TCP, TCP_USER_TIMEOUT, tcp_user_timeout_ms);
    set_option(fd, SOL_SOCKET, SO_KEEPALIVE, 1);
    set_option(fd, IPPROTO_TCP, TCP_KEEPIDLE, keepalive_idle_s);
    set_option(fd, IPPROTO_TCP, TCP_KEEPINTVL, keepalive_interval_s);
    set_option(fd, IPPROTO_TCP, TCP_KEEPCNT, keepalive_probes);
}

exchange_result unanswered(exchange_outcome outcome, std::string reason,
                           exchange_end ended_by = exchange_end::endpoint) {
    return {outcome, {}, std::move(reason), ended_by, {}};
}

exchange_outcome classify_error(const endpoint_connection& connection, const error_code& ec) {
    if (connection.cancelled) {
        return exchange_outcome::cancelled;
    }
    return ec == beast::error::timeout ? exchange_outcome::timed_out : exchange_outcome::lost;
}

/// What ended a read or write with `ec`.
exchange_end end_of(const endpoint_connection& connection, const error_code& ec) {
    if (connection.cancelled) {
        return exchange_end::cancel;
    }
    return ec == beast::error::timeout ? exchange_end::response_deadline : exchange_end::endpoint;
}

awaitable<bool> connect(const connection_ptr& connection, common::time_point deadline,
                        exchange_result& failure) {
    const auto address = transport::split_address(connection->peer);
    error_code ec;
    const auto ip = net::ip::make_address_v4(address ? address->ip : std::string(), ec);
    if (ec) {
        failure.reason = "not an IPv4 address and port";
        co_return false;
    }
    const tcp::endpoint target(ip, static_cast<unsigned short>(address->port));
    connection->stream.expires_at(deadline);
    co_await connection->stream.async_connect(target, keep_error(ec));
    if (ec || connection->cancelled) {
        failure.reason = "connect: " + ec.message();
        failure.ended_by = connection->cancelled         ? exchange_end::cancel
                           : ec == beast::error::timeout ? exchange_end::connect_deadline
                                                         : exchange_end::endpoint;
        co_return false;
    }
    connection->connected = true;
    connection->connected_at = common::monotonic::now();
    set_socket_options(connection->stream.socket().native_handle());
    co_return true;
}

/// State of a request write, which may run concurrently with reading the response.
struct request_write {
    bool done{false};
    error_code ec;
    std::size_t sent{0};
};

awaitable<void> write_request(connection_ptr connection, std::shared_ptr<const exchange_request> request,
                              std::shared_ptr<request_write> write) {
    write->sent = co_await http::async_write(connection->stream, request->message, keep_error(write->ec));
    write->done = true;
}

/// The request that a response belongs to.
enum class response_owner : std::uint8_t { this_request, other_request, unknown };

response_owner owner_of(const endpoint_connection& connection, const exchange_request& request,
                        const http::response_header<>& response) {
    if (request.id_header.empty()) {
        return response_owner::this_request;
    }
    const auto echoed = response.find(request.id_header);
    const auto sent = request.message.find(request.id_header);
    if (echoed != response.end()) {
        const bool same = sent != request.message.end() && echoed->value() == sent->value();
        return same ? response_owner::this_request : response_owner::other_request;
    }
    if (response.result_int() < 400) {
        // Without an id, a success must not be attributed to this request.
        return response_owner::other_request;
    }
    // An error response without an id certainly belongs to the first request of a connection. On later
    // requests it may be a repeated refusal of an earlier one.
    return connection.requests_sent == 1 ? response_owner::this_request : response_owner::unknown;
}

/// When a connection must not be reused any more, from the Keep-Alive header of its last response.
common::time_point idle_deadline(const response_message& response) {
    auto idle = default_idle_timeout;
    const auto value = response[http::field::keep_alive];
    const auto at = value.find("timeout=");
    if (at != beast::string_view::npos) {
        int seconds = 0;
        std::from_chars(value.data() + at + 8, value.data() + value.size(), seconds);
        idle = std::chrono::seconds(seconds) - idle_margin;
    }
    return common::monotonic::now() + std::min(idle, max_idle_timeout);
}

using string_response_parser = http::response_parser<http::string_body>;

/// Makes room for the next read of a body, within the memory budget. An announced length is no reason to
/// reserve: what arrives may be less.
bool reserve_body(string_response_parser& parser, std::size_t more, const exchange_request& request,
                  transport::memory_reservation& reservation) {
    auto& body = parser.get().body();
    if (parser.content_length()) {
        return transport::reserve_memory(reservation, body.size());
    }
    const auto capacity = traffic::grown_body_capacity(
        body.size(), body.capacity(), more, std::max<std::size_t>(request.body_limit, body.size() + more));
    if (capacity <= body.capacity()) {
        return true;
    }
    // While the body is moved, both buffers are held.
    if (!transport::reserve_memory(reservation, std::max(capacity, 2 * body.size()))) {
        return false;
    }
    body.reserve(capacity);
    return true;
}

/// Reads more of a response. Its end by close completes the response or is an error.
awaitable<void> read_more(const connection_ptr& connection, string_response_parser& parser, error_code& ec) {
    auto& input = connection->input;
    const auto n = beast::read_size(input, max_read_bytes);
    if (n == 0) {
        ec = http::error::buffer_overflow;
        co_return;
    }
    const auto received = co_await connection->stream.async_read_some(input.prepare(n), keep_error(ec));
    input.commit(received);
    if (ec != net::error::eof) {
        co_return;
    }
    ec = {};
    if (parser.got_some()) {
        parser.put_eof(ec);
    } else {
        ec = http::error::end_of_stream;
    }
}

/// Reads the head of a response.
awaitable<void> read_head(const connection_ptr& connection, string_response_parser& parser, error_code& ec) {
    while (!ec && !parser.is_header_done()) {
        parse_input(parser, connection->input, ec);
        if (ec == http::error::need_more) {
            ec = {};
            co_await read_more(connection, parser, ec);
        }
    }
}

/// Reads the rest of a response, checking the memory budget at each read.
awaitable<void> read_body(const connection_ptr& connection, const exchange_request& request,
                          string_response_parser& parser, transport::memory_reservation& reservation,
                          error_code& ec) {
    std::size_t received = 0;
    if (!ec && !parser.is_done() &&
        parser.content_length_remaining().value_or(body_input_bytes) > connection->input.size()) {
        connection->input.reserve(body_input_bytes);
    }
    while (!ec && !parser.is_done()) {
        if (request.max_stall.count() > 0) {
            connection->stream.expires_at(
                std::min(request.last_deadline,
                         std::max(request.deadline, common::monotonic::now() + request.max_stall)));
        }
        if (!reserve_body(parser, connection->input.capacity(), request, reservation)) {
            ec = http::error::body_limit;
            break;
        }
        received += parse_input(parser, connection->input, ec);
        if (ec == http::error::need_more) {
            ec = {};
            co_await read_more(connection, parser, ec);
        }
        const auto size = parser.get().body().size();
        if (!ec && received > 2 * size + max_framing_bytes) {
            ec = http::error::bad_chunk_extension;
        }
    }
    if (!ec && !transport::reserve_memory(reservation, parser.get().body().size())) {
        ec = http::error::body_limit;
    }
}

/// Whether a response may have this status. 101 switches to another protocol, which no request asks for.
bool is_possible_status(unsigned int status) {
    return status >= 100 && status < 600 &&
           status != static_cast<unsigned int>(http::status::switching_protocols);
}

/// Whether the body has a transfer coding that this host does not decode. No length in the head says where
/// such a body ends (RFC 9112, 6.3).
bool has_unknown_coding(const http::response_header<>& head) {
    const auto fields = head.equal_range(http::field::transfer_encoding);
    return std::any_of(fields.first, fields.second,
                       [](const auto& it) { return !beast::iequals(it.value(), "chunked"); });
}

/// Whether the end of the connection may have cut off the response. A reset while the request is written goes
/// to the write, and the read then sees an ordinary end, which completes a response without a length.
bool may_be_cut_off(const string_response_parser& parser, const request_write& write) {
    return parser.need_eof() && (!write.done || write.ec);
}

/// Reads until the response to this request arrives and discards responses to other requests.
awaitable<exchange_result> read_response(const connection_ptr& connection, const exchange_request& request,
                                         const request_write& write) {
    bool saw_stray = false;
    for (int n = 0; n <= max_stray_responses; ++n) {
        string_response_parser parser;
        transport::memory_reservation reservation(request.budget);
        parser.header_limit(max_response_header_bytes);
        parser.body_limit(request.body_limit);
        parser.skip(request.message.method() == http::verb::head);
        error_code ec;
        co_await read_head(connection, parser, ec);
        if (!ec && !is_possible_status(parser.get().result_int())) {
            co_return unanswered(exchange_outcome::lost,
                                 fmt::format("impossible status {}", parser.get().result_int()));
        }
        if (!ec && has_unknown_coding(parser.get().base())) {
            co_return unanswered(exchange_outcome::lost, "unknown transfer coding");
        }
        if (!ec && request.on_head) {
            request.on_head(parser.get().base());
        }
        const auto owner = ec ? response_owner::unknown : owner_of(*connection, request, parser.get().base());
        if (!ec && owner == response_owner::other_request) {
            // A stray response without end would block this request.
            parser.body_limit(max_stray_body_bytes);
        }
        co_await read_body(connection, request, parser, reservation, ec);
        if (ec) {
            co_return unanswered(classify_error(*connection, ec), "read: " + ec.message(),
                                 end_of(*connection, ec));
        }
        if (may_be_cut_off(parser, write)) {
            co_return unanswered(exchange_outcome::lost,
                                 "the connection ended a response without a length before the request was "
                                 "written");
        }
        const bool closes = parser.get().need_eof() || !parser.get().keep_alive();
        auto response = parser.release();
        if (response.result_int() < 200) {
            continue;
        }
        if (owner == response_owner::unknown) {
            co_return unanswered(exchange_outcome::lost,
                                 "error response without a request id, possibly for an earlier request");
        }
        if (owner == response_owner::other_request) {
            saw_stray = true;
            continue;
        }
        connection->reusable = !closes && !saw_stray && connection->input.size() == 0;
        if (connection->input.size() == 0 && connection->input.capacity() > idle_input_bytes) {
            connection->input.clear();
            connection->input.shrink_to_fit();
        }
        connection->reusable_until = idle_deadline(response);
        co_return exchange_result{
            exchange_outcome::answered, std::move(response), {}, {}, std::move(reservation)};
    }
    co_return unanswered(exchange_outcome::lost, "only responses to other requests arrived");
}

void close(endpoint_connection& connection) {
    connection.reusable = false;
    connection.connected = false;
    connection.stream.close();
}

} // namespace

awaitable<exchange_result> run_exchange(connection_ptr connection,
                                        std::shared_ptr<const exchange_request> request) {
    connection->reusable = false;
    if (!connection->connected) {
        const auto due = std::min(request->connect_deadline, request->deadline);
        exchange_result failure;
        const bool ready = co_await connect(connection, due, failure);
        if (!ready) {
            failure.outcome =
                connection->cancelled ? exchange_outcome::cancelled : exchange_outcome::not_sent;
            close(*connection);
            co_return failure;
        }
    }
    if (request->send_deadline && common::boot_clock::now() > *request->send_deadline) {
        close(*connection);
        co_return unanswered(exchange_outcome::not_sent, "send deadline passed", exchange_end::send_deadline);
    }
    if (request->may_send && !request->may_send()) {
        close(*connection);
        co_return unanswered(exchange_outcome::not_sent, "the endpoint wants no request",
                             exchange_end::withheld);
    }
    connection->stream.expires_at(request->deadline);
    ++connection->requests_sent;
    const auto write = std::make_shared<request_write>();
    if (request->message.body().size() > max_inline_body_bytes) {
        net::co_spawn(connection->strand, write_request(connection, request, write), net::detached);
    } else {
        co_await write_request(connection, request, write);
        if (write->ec && write->sent == 0 && !connection->cancelled) {
            close(*connection);
            co_return unanswered(exchange_outcome::not_sent, "write: " + write->ec.message());
        }
    }
    // After a failed write the socket may still hold a response that the endpoint sent before it closed.
    auto result = co_await read_response(connection, *request, *write);
    if (!write->done || write->ec || !connection->reusable) {
        close(*connection);
    }
    co_return result;
}

void cancel_exchange(const connection_ptr& connection) {
    net::post(connection->strand, [connection] {
        connection->cancelled = true;
        connection->stream.close();
    });
}

bool is_open_and_idle(endpoint_connection& connection) {
    char byte = 0;
    const auto n = recv(connection.stream.socket().native_handle(), &byte, 1, MSG_PEEK | MSG_DONTWAIT);
    // Input on an idle connection belongs to no request.
    return n < 0 && (errno == EAGAIN || errno == EWOULDBLOCK);
}

std::string_view exchange_end_name(exchange_end end) {
    switch (end) {
    case exchange_end::endpoint:
        return "endpoint";
    case exchange_end::connect_deadline:
        return "connect_deadline";
    case exchange_end::send_deadline:
        return "send_deadline";
    case exchange_end::withheld:
        return "withheld";
    case exchange_end::response_deadline:
        return "response_deadline";
    case exchange_end::cancel:
        return "cancel";
    }
    return "unknown";
}

std::string_view exchange_outcome_name(exchange_outcome outcome) {
    switch (outcome) {
    case exchange_outcome::answered:
        return "answered";
    case exchange_outcome::not_sent:
        return "not_sent";
    case exchange_outcome::lost:
        return "lost";
    case exchange_outcome::timed_out:
        return "timed_out";
    case exchange_outcome::cancelled:
        return "cancelled";
    }
    return "unknown";
}

} // namespace lycheegap::gateway
