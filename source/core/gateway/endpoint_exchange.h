#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

#include "core/transport/memory_budget.h"
#include "held_body.h"
#include "net.h"

namespace lycheegap::gateway {

/// How an exchange with an endpoint ended.
enum class exchange_outcome : std::uint8_t {
    /// The complete response was read.
    answered,
    /// No byte of the request was sent.
    not_sent,
    /// The request may have run; its response is missing, truncated or belongs to another request.
    lost,
    /// Like `lost`, because the deadline passed.
    timed_out,
    /// Like `lost`, because `cancel_exchange` was called.
    cancelled,
};

/// What ended an exchange that was not answered.
enum class exchange_end : std::uint8_t {
    /// The endpoint or the network: a failed connect, write or read, or an unusable response.
    endpoint,
    connect_deadline,
    send_deadline,
    /// `may_send` returned false.
    withheld,
    response_deadline,
    /// `cancel_exchange` was called.
    cancel,
};

struct exchange_result {
    exchange_outcome outcome{exchange_outcome::not_sent};
    /// The response; set for `answered` only.
    response_message response;
    /// Why there is no response, for logs.
    std::string reason;
    /// Meaningful unless `answered`.
    exchange_end ended_by{exchange_end::endpoint};
    /// For the body of the response.
    transport::memory_reservation memory{};
};

/// Capacity of the read buffer in bytes. A response head or chunk header that does not fit ends the exchange
/// with an error.
inline constexpr std::size_t max_buffered_bytes = 128U << 10U;

using transport::memory_budget;

/// A connection to an endpoint or to the store. Accessed only on its strand while an exchange runs; in
/// between by its owner, such as the connection pool.
struct endpoint_connection {
    explicit endpoint_connection(const connection_strand& executor) : strand(executor), stream(executor) {}

    connection_strand strand;
    beast::tcp_stream stream;
    beast::flat_buffer input{max_buffered_bytes};
    /// "ip:port" of the other side.
    std::string peer;
    bool connected{false};
    /// When it was opened.
    common::time_point connected_at;
    /// Requests sent on this connection.
    int requests_sent{0};
    /// The last response was complete, the other side keeps the connection open, and no stray response or
    /// unread input was found: another exchange may use the connection.
    bool reusable{false};
    /// Not to be used from this time on, since the other side may close it.
    common::time_point reusable_until;
    /// When its last exchange ended; set by the connection pool.
    common::time_point idle_since;
    /// `cancel_exchange` was called.
    bool cancelled{false};
};

using connection_ptr = std::shared_ptr<endpoint_connection>;

/// One request with its deadlines and limits.
struct exchange_request {
    /// Its body is a view of `body`.
    outgoing_request message;
    held_body_ptr body;
    /// For the complete response.
    common::time_point deadline;
    common::time_point connect_deadline;
    /// Longest time between two reads of a response's body; 0 for any. It extends `deadline` while bytes
    /// arrive, up to `last_deadline`.
    common::milliseconds max_stall{0};
    common::time_point last_deadline{common::time_point::max()};
    /// After this time the request is not sent any more; empty sets no limit. On the boot clock, which goes
    /// on while the machine is suspended.
    std::optional<common::boot_clock::time_point> send_deadline;
    /// Asked once the connection is open; if it returns false, the request is not sent. Empty sends it.
    std::function<bool()> may_send;
    /// Called with the head of each response on the connection, also of those that are discarded. May be
    /// empty.
    std::function<void(const http::response_header<>&)> on_head;
    /// Header with the request id, which the other side echoes; empty when it echoes none.
    std::string id_header;
    /// Largest response body in bytes.
    std::uint64_t body_limit{64U << 20U};
    /// Budget shared with other exchanges; null applies `body_limit` only.
    memory_budget* budget{nullptr};
};

/// Connects if needed, sends the request and reads its response. Late responses to earlier requests are
/// discarded. Must run on the connection's strand; closes the connection unless it is reusable afterwards.
awaitable<exchange_result> run_exchange(connection_ptr connection,
                                        std::shared_ptr<const exchange_request> request);

/// Ends the running exchange and closes the connection. May be called on any thread.
void cancel_exchange(const connection_ptr& connection);

/// Whether an idle connection is still open and has no unread input. Must not be called while an exchange
/// runs.
bool is_open_and_idle(endpoint_connection& connection);

/// Names of enumerators, for logs.
std::string_view exchange_outcome_name(exchange_outcome outcome);
std::string_view exchange_end_name(exchange_end end);

} // namespace lycheegap::gateway
