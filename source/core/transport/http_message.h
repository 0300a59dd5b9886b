#pragma once

#include <cstddef>
#include <cstdint>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "core/execution/caller_key.h"

namespace lycheegap::transport {

/// A received request. `body` is valid only while the handler runs.
struct http_request {
    execution::request_head head;
    std::span<const std::byte> body;
    /// IP address of the client; empty when it is not IPv4.
    std::string peer;
    /// TCP port of the client; together with `peer` it identifies the connection.
    int peer_port{0};
};

struct http_response {
    int status{200};
    std::vector<execution::header> headers;
    std::string body;
};

/// Decoded value of the first query parameter called `name`; empty when it is absent. "+" is a blank, as in
/// forms.
std::string query_parameter(std::string_view query, std::string_view name);

/// Views bytes as text, without a copy.
std::string_view as_text(std::span<const std::byte> body);

/// Views text as bytes, without a copy.
std::span<const std::byte> as_bytes(std::string_view text);

/// Builds a response with content type application/json.
http_response json_response(int status, std::string json);

/// Parses an unsigned decimal number; returns `fallback` unless the whole text is one.
std::uint64_t parse_uint_or(std::string_view text, std::uint64_t fallback);

} // namespace lycheegap::transport
