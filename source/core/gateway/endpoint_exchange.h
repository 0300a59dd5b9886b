#pragma once

#include <atomic>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

#include "net.h"

namespace lycheegap::gateway {

/// How an exchange with an endpoint ended.
enum class exchange_end : std::uint8_t {
    /// The whole answer is there.
    answered,
    /// No byte of the request left this host.
    not_sent,
    /// The request may have run; its answer is missing, torn or another request's.
    lost,
    /// As `lost`; the deadline passed.
    timed_out,
    /// As `lost`; `cancel_exchange` was called.
    cancelled,
};

struct exchange_result {
    exchange_end end{exchange_end::not_sent};
    response_message answer;
    /// Why there is no answer.
    std::string reason;
};

/// Bytes that are read ahead of the parser; a head, or the frame of a chunk, that does not fit is no answer.
inline constexpr std::size_t input_limit = 128U << 10U;

/// Memory that bodies of answers may take while they are read, for all exchanges that share it.
struct answer_memory {
    explicit answer_memory(std::int64_t bytes) : limit(bytes) {}

    const std::int64_t limit;
    std::atomic<std::int64_t> used{0};
};

/// A connection to an endpoint or to the store. Touched on its strand only, except `peer` and `idle_until`,
/// which its holder owns while it is idle.
struct endpoint_connection {
    explicit endpoint_connection(const connection_strand& executor) : strand(executor), stream(executor) {}

    connection_strand strand;
    beast::tcp_stream stream;
    beast::flat_buffer input{input_limit};
    std::string peer;
    bool connected{false};
    /// Requests that were sent on it.
    int requests_sent{0};
    /// Answers have come in order and whole, so the next request may use the connection.
    bool reusable{false};
    /// The other side drops it after this time.
    common::time_point idle_until;
    bool cancelled{false};
};

using connection_ptr = std::shared_ptr<endpoint_connection>;

/// One request and the time by which its answer counts.
struct exchange_request {
    request_message message;
    common::time_point deadline;
    common::time_point connect_deadline;
    /// The request leaves by then or not at all; empty where it may leave at any time.
    std::optional<common::boot_clock::time_point> send_deadline;
    /// Header that the other side repeats in its answer; empty when it repeats none.
    std::string id_header;
    /// Largest body that is taken.
    std::uint64_t body_limit{64U << 20U};
    /// Shared by all exchanges of the host; null: only `body_limit` holds.
    answer_memory* memory{nullptr};
};

/// Sends a request and reads its answer. Runs on the connection's strand. Answers to other requests are
/// dropped.
awaitable<exchange_result> run_exchange(connection_ptr connection,
                                        std::shared_ptr<const exchange_request> request);

/// Ends the running exchange and closes the connection; from any thread.
void cancel_exchange(const connection_ptr& connection);

/// Whether an idle connection is still open and silent. Not while an exchange runs.
bool is_quiet(endpoint_connection& connection);

/// Name of an end, for logs.
std::string_view end_name(exchange_end end);

} // namespace lycheegap::gateway
