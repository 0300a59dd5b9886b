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

namespace lycheegap::transport {

/// One call as a client.
struct http_call {
    /// IP number and port.
    std::string address;
    execution::request_head head;
    std::span<const std::byte> body;
    /// The call ends at this moment at the latest.
    common::time_point deadline;
};

/// How a call ended.
struct http_result {
    /// The whole answer, or empty; then the last reason tells why.
    std::optional<http_response> response;
    /// Some byte of the request may have left this host.
    bool may_have_left{false};
};

struct curl_handle_deleter {
    void operator()(CURL* handle) const;
};

using curl_handle = std::unique_ptr<CURL, curl_handle_deleter>;

/// Shared table of idle connections, by address. Each handle keeps one connection.
struct connection_pool {
    common::ranked_mutex mutex{common::lock_rank::connection_pool};
    std::map<std::string, std::vector<curl_handle>, std::less<>> idle;
    /// Connections opened since the start.
    std::uint64_t opened{0};
    /// IP number that connections leave from; empty takes any.
    std::string source_address;
    /// Idle connections kept for each address.
    std::size_t idle_limit{64};
};

/// Makes a call and waits for its end. A connection on which anything went wrong is closed. The request is
/// sent at most once.
http_result call_http(connection_pool& pool, const http_call& call);

/// Idle connections to an address.
std::size_t idle_connections(connection_pool& pool, std::string_view address);

} // namespace lycheegap::transport
