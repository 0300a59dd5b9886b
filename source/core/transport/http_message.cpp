#include "http_message.h"

#include <algorithm>
#include <charconv>

#include "core/common/percent_encoding.h"

namespace lycheegap::transport {

std::string query_parameter(std::string_view query, std::string_view name) {
    while (!query.empty()) {
        const auto end = std::min(query.find('&'), query.size());
        const auto parameter = query.substr(0, end);
        query.remove_prefix(std::min(end + 1, query.size()));
        if (parameter.starts_with(name) && parameter.substr(name.size()).starts_with('=')) {
            std::string value(parameter.substr(name.size() + 1));
            std::replace(value.begin(), value.end(), '+', ' ');
            // Look-ups are frequent, and escapes in them are rare.
            return value.find('%') == std::string::npos ? value : common::percent_decode(value);
        }
    }
    return {};
}

std::string_view as_text(std::span<const std::byte> body) {
    return {reinterpret_cast<const char*>(body.data()), body.size()};
}

std::span<const std::byte> as_bytes(std::string_view text) {
    return std::as_bytes(std::span(text.data(), text.size()));
}

http_response json_response(int status, std::string json) {
    return {status, {{"content-type", "application/json"}}, std::move(json)};
}

std::uint64_t parse_uint_or(std::string_view text, std::uint64_t fallback) {
    std::uint64_t value = 0;
    const auto result = std::from_chars(text.data(), text.data() + text.size(), value);
    const bool is_complete = result.ec == std::errc() && result.ptr == text.data() + text.size();
    return is_complete && !text.empty() ? value : fallback;
}

} // namespace lycheegap::transport
