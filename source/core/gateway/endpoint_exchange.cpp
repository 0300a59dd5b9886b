#include "endpoint_exchange.h"

#include <charconv>

#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/write.hpp>
#include <netinet/tcp.h>
#include <sys/socket.h>

#include "core/transport/listen_socket.h"

namespace lycheegap::gateway {

namespace {

constexpr std::uint32_t answer_head_limit = 65536;
// Late answers to earlier requests that one exchange reads past.
constexpr int stray_answers = 3;
// Bytes of the body of such an answer.
constexpr std::uint64_t stray_body_limit = 1U << 20U;
// Bytes that are sent unacknowledged this long break the connection. Longer than two round trips between
// regions and one retransmission.
constexpr int unacknowledged_ms = 1500;
// Probes find a connection that went silent while the endpoint works: the first after one second, then each
// second.
constexpr int probe_idle_s = 1;
constexpr int probe_interval_s = 1;
constexpr int probe_count = 3;
// Idle time for an endpoint that states none.
constexpr common::milliseconds default_idle{4000};
// Longest idle time in any case: the longer a connection idles, the likelier it went silent.
constexpr common::milliseconds longest_idle{6000};
// A request is on its way while the other side's timer runs.
constexpr common::milliseconds idle_margin{1200};
// A body longer than this is sent while the answer is awaited, since it may come before the body is read.
constexpr std::size_t inline_body = 4096;

void set_option(int fd, int level, int name, int value) {
    // A refused option leaves the system's own, longer time-outs.
    setsockopt(fd, level, name, &value, sizeof value);
}

void set_timeouts(int fd) {
    set_option(fd, IPPROTO_TCP, TCP_NODELAY, 1);
    set_option(fd, IPPROTO_TCP, TCP_USER_TIMEOUT, unacknowledged_ms);
    set_option(fd, SOL_SOCKET, SO_KEEPALIVE, 1);
    set_option(fd, IPPROTO_TCP, TCP_KEEPIDLE, probe_idle_s);
    set_option(fd, IPPROTO_TCP, TCP_KEEPINTVL, probe_interval_s);
    set_option(fd, IPPROTO_TCP, TCP_KEEPCNT, probe_count);
}

exchange_result ended(exchange_end end, std::string reason) {
    return {end, {}, std::move(reason)};
}

exchange_end end_of(const endpoint_connection& connection, const error_code& ec) {
    if (connection.cancelled) {
        return exchange_end::cancelled;
    }
    return ec == beast::error::timeout ? exchange_end::timed_out : exchange_end::lost;
}

awaitable<bool> connect(const connection_ptr& connection, common::time_point deadline, std::string& reason) {
    const auto address = transport::split_address(connection->peer);
    error_code ec;
    const auto ip = net::ip::make_address_v4(address ? address->ip : std::string(), ec);
    if (ec) {
        reason = "not an IP number and port";
        co_return false;
    }
    const tcp::endpoint target(ip, static_cast<unsigned short>(address->port));
    connection->stream.expires_at(deadline);
    co_await connection->stream.async_connect(target, keep_error(ec));
    if (ec || connection->cancelled) {
        reason = "connect: " + ec.message();
        co_return false;
    }
    connection->connected = true;
    set_timeouts(connection->stream.socket().native_handle());
    co_return true;
}

/// State of a body that is sent while the answer is read.
struct running_write {
    bool done{false};
    error_code ec;
    std::size_t sent{0};
};

awaitable<void> write_request(connection_ptr connection, std::shared_ptr<const exchange_request> request,
                              std::shared_ptr<running_write> write) {
    write->sent = co_await http::async_write(connection->stream, request->message, keep_error(write->ec));
    write->done = true;
}

/// Whose answer came.
enum class answer_owner : std::uint8_t { this_request, other_request, unknown };

answer_owner owner_of(const endpoint_connection& connection, const exchange_request& request,
                      const http::response_header<>& answer) {
    if (request.id_header.empty()) {
        return answer_owner::this_request;
    }
    const auto echoed = answer.find(request.id_header);
    const auto sent = request.message.find(request.id_header);
    if (echoed != answer.end()) {
        const bool same = sent != request.message.end() && echoed->value() == sent->value();
        return same ? answer_owner::this_request : answer_owner::other_request;
    }
    if (answer.result_int() < 400) {
        // A success must be certain.
        return answer_owner::other_request;
    }
    // A failure without an id can only belong to the first request of a connection; later it may be an
    // earlier refusal that was written once more.
    return connection.requests_sent == 1 ? answer_owner::this_request : answer_owner::unknown;
}

common::time_point idle_limit(const response_message& answer) {
    auto idle = default_idle;
    const auto value = answer[http::field::keep_alive];
    const auto at = value.find("timeout=");
    if (at != beast::string_view::npos) {
        int seconds = 0;
        std::from_chars(value.data() + at + 8, value.data() + value.size(), seconds);
        idle = std::chrono::seconds(seconds) - idle_margin;
    }
    return common::monotonic::now() + std::min(idle, longest_idle);
}

using answer_parser = http::response_parser<http::string_body>;

/// Memory that one answer holds while it is read.
struct memory_share {
    explicit memory_share(answer_memory* from) : memory(from) {}

    memory_share(const memory_share&) = delete;
    memory_share& operator=(const memory_share&) = delete;
    memory_share(memory_share&&) = delete;
    memory_share& operator=(memory_share&&) = delete;

    ~memory_share() {
        if (memory != nullptr) {
            memory->used -= held;
        }
    }

    answer_memory* memory;
    std::int64_t held{0};
};

/// Notes how much the answer holds by now; false when all answers together hold too much.
bool hold(memory_share& share, std::size_t bytes) {
    if (share.memory == nullptr) {
        return true;
    }
    const auto grown = static_cast<std::int64_t>(bytes) - share.held;
    share.held += grown;
    return (share.memory->used += grown) <= share.memory->limit;
}

/// Reads the rest of an answer piece by piece.
awaitable<void> read_body(const connection_ptr& connection, answer_parser& parser, memory_share& share,
                          error_code& ec) {
    while (!ec && !parser.is_done()) {
        co_await http::async_read_some(connection->stream, connection->input, parser, keep_error(ec));
        if (!ec && !hold(share, parser.get().body().size())) {
            ec = http::error::body_limit;
        }
    }
}

/// Reads until the answer to this request has come.
awaitable<exchange_result> read_answer(const connection_ptr& connection, const exchange_request& request) {
    bool strays = false;
    for (int n = 0; n <= stray_answers; ++n) {
        answer_parser parser;
        memory_share share(request.memory);
        parser.header_limit(answer_head_limit);
        parser.body_limit(request.body_limit);
        parser.skip(request.message.method() == http::verb::head);
        error_code ec;
        co_await http::async_read_header(connection->stream, connection->input, parser, keep_error(ec));
        const auto owner = ec ? answer_owner::unknown : owner_of(*connection, request, parser.get().base());
        if (!ec && owner == answer_owner::other_request) {
            // Nobody waits for it; one that goes on without end would hold this request up.
            parser.body_limit(stray_body_limit);
        }
        co_await read_body(connection, parser, share, ec);
        if (ec) {
            co_return ended(end_of(*connection, ec), "read: " + ec.message());
        }
        const bool closes = parser.get().need_eof() || !parser.get().keep_alive();
        auto answer = parser.release();
        if (answer.result_int() < 200) {
            continue;
        }
        if (owner == answer_owner::unknown) {
            co_return ended(exchange_end::lost, "a failure without an id, maybe of an earlier request");
        }
        if (owner == answer_owner::other_request) {
            strays = true;
            continue;
        }
        connection->reusable = !closes && !strays && connection->input.size() == 0;
        connection->idle_until = idle_limit(answer);
        co_return exchange_result{exchange_end::answered, std::move(answer), {}};
    }
    co_return ended(exchange_end::lost, "only answers to other requests came");
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
    std::string reason;
    if (!connection->connected) {
        const auto due = std::min(request->connect_deadline, request->deadline);
        const bool ready = co_await connect(connection, due, reason);
        if (!ready) {
            const auto end = connection->cancelled ? exchange_end::cancelled : exchange_end::not_sent;
            close(*connection);
            co_return ended(end, std::move(reason));
        }
    }
    if (request->send_deadline && common::boot_clock::now() > *request->send_deadline) {
        close(*connection);
        co_return ended(exchange_end::not_sent, "too late to be sent");
    }
    connection->stream.expires_at(request->deadline);
    ++connection->requests_sent;
    const auto write = std::make_shared<running_write>();
    if (request->message.body().size() > inline_body) {
        net::co_spawn(connection->strand, write_request(connection, request, write), net::detached);
    } else {
        co_await write_request(connection, request, write);
        if (write->ec && write->sent == 0 && !connection->cancelled) {
            close(*connection);
            co_return ended(exchange_end::not_sent, "write: " + write->ec.message());
        }
    }
    // After a failed write an answer may still lie in the socket, sent before the endpoint closed.
    auto result = co_await read_answer(connection, *request);
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

bool is_quiet(endpoint_connection& connection) {
    char byte = 0;
    const auto n = recv(connection.stream.socket().native_handle(), &byte, 1, MSG_PEEK | MSG_DONTWAIT);
    // Bytes that come while nothing was asked belong to no request.
    return n < 0 && (errno == EAGAIN || errno == EWOULDBLOCK);
}

std::string_view end_name(exchange_end end) {
    switch (end) {
    case exchange_end::answered:
        return "answered";
    case exchange_end::not_sent:
        return "not_sent";
    case exchange_end::lost:
        return "lost";
    case exchange_end::timed_out:
        return "timed_out";
    case exchange_end::cancelled:
        return "cancelled";
    }
    return "unknown";
}

} // namespace lycheegap::gateway
