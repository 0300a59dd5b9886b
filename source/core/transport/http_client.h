#pragma once

#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include <curl/curl.h>

#include "core/common/clock.h"
#include "core/common/ranked_mutex.h"
#include "http_message.h"
#include "memory_budget.h"

namespace lycheegap::transport {

/// One outgoing request.
struct http_call {
    /// "ip:port" of the server.
    std::string address;
    execution::request_head head;
    std::span<const std::byte> body;
    /// The call fails when it has not finished by this time.
    common::time_point deadline;
};

/// Result of a call.
struct http_result {
    /// The complete response, or empty on an error; `common::last_reason()` then holds the cause.
    std::optional<http_response> response;
    /// False when no byte of the request was sent, so that a retry is safe; true when the server may have
    /// run the request.
    bool may_have_been_sent{false};
};

struct curl_handle_deleter {
    void operator()(CURL* handle) const;
};

using curl_handle = std::unique_ptr<CURL, curl_handle_deleter>;

/// Default of the memory that the bodies of all responses read over one pool may take.
inline constexpr std::int64_t default_response_memory_bytes = 64LL << 20;

/// Idle keep-alive connections by server address, shared between threads. Each curl handle holds one
/// connection.
struct connection_pool {
    common::ranked_mutex mutex{common::lock_rank::connection_pool};
    std::map<std::string, std::vector<curl_handle>, std::less<>> idle;
    /// Connections opened since the pool was created.
    std::uint64_t opened{0};
    /// Local IP address to bind outgoing connections to; empty lets the system choose.
    std::string source_address;
    /// Maximum number of idle connections per address.
    std::size_t idle_limit{64};
    memory_budget response_memory{default_response_memory_bytes};
};

/// Sends a request and blocks until the response, an error or the deadline. The request is sent at most once.
/// The connection returns to the pool only after a complete response; after any error, which includes a
/// response that is too large, it is closed.
http_result call_http(connection_pool& pool, const http_call& call);

/// Number of idle connections to an address.
std::size_t idle_connections(connection_pool& pool, std::string_view address);

} // namespace lycheegap::transport
