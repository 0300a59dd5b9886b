#pragma once

#include <cstddef>
#include <cstdint>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "core/execution/caller_key.h"

namespace lycheegap::transport {

/// A received request. The views hold while the handler runs.
struct http_request {
    execution::request_head head;
    std::span<const std::byte> body;
    /// IP number of the other side.
    std::string peer;
    /// TCP port of the other side; with `peer` it names the connection.
    int peer_port{0};
};

struct http_response {
    int status{200};
    std::vector<execution::header> headers;
    std::string body;
};

/// Value of a parameter of the query, without percent decoding; empty when it is absent.
std::string_view query_parameter(std::string_view query, std::string_view name);

/// Body as text.
std::string_view as_text(std::span<const std::byte> body);

/// Text as bytes.
std::span<const std::byte> as_bytes(std::string_view text);

/// A response with JSON in it.
http_response json_response(int status, std::string json);

/// Whole number in a text, or `otherwise` when it is none.
std::uint64_t number_or(std::string_view text, std::uint64_t otherwise);

} // namespace lycheegap::transport
