#include "message_headers.h"

#include <algorithm>
#include <array>
#include <charconv>
#include <chrono>
#include <cmath>
#include <vector>

namespace lycheegap::gateway {

namespace {

// Longer timeouts of callers are capped to this.
constexpr std::int64_t max_timeout_ms = 3'600'000;

// Figures of a load report beyond these are not plausible.
constexpr std::int64_t max_slots = 100'000;
constexpr std::int64_t max_pace_percent = 10'000;

constexpr std::array<std::string_view, 8> hop_by_hop_headers = {
    "connection", "keep-alive", "proxy-connection", "te", "trailer", "transfer-encoding", "upgrade", "expect",
};

bool equals_ignore_case(std::string_view a, std::string_view b) {
    return beast::iequals({a.data(), a.size()}, {b.data(), b.size()});
}

std::string_view trim(std::string_view text) {
    while (!text.empty() && (text.front() == ' ' || text.front() == '\t')) {
        text.remove_prefix(1);
    }
    while (!text.empty() && (text.back() == ' ' || text.back() == '\t')) {
        text.remove_suffix(1);
    }
    return text;
}

/// Removes the part before the next separator from `text` and returns it trimmed.
std::string_view split_off(std::string_view& text, char separator) {
    const auto end = std::min(text.find(separator), text.size());
    const auto part = trim(text.substr(0, end));
    text.remove_prefix(std::min(end + 1, text.size()));
    return part;
}

/// Names of the headers that the Connection header declares as hop-by-hop.
template <typename Message>
std::vector<std::string> connection_listed_headers(const Message& message) {
    std::vector<std::string> names;
    const auto range = message.equal_range(http::field::connection);
    for (auto it = range.first; it != range.second; ++it) {
        auto rest = to_view(it->value());
        while (!rest.empty()) {
            names.emplace_back(split_off(rest, ','));
        }
    }
    return names;
}

bool is_hop_by_hop(std::string_view name, const std::vector<std::string>& listed) {
    const auto same = [&](std::string_view it) { return equals_ignore_case(it, name); };
    return std::any_of(hop_by_hop_headers.begin(), hop_by_hop_headers.end(), same) ||
           std::any_of(listed.begin(), listed.end(), same);
}

/// Whether a header of the caller is dropped: the key, and the headers that this host sets itself.
bool is_reserved_header(std::string_view name, const header_names& names) {
    return equals_ignore_case(name, "authorization") || equals_ignore_case(name, names.team) ||
           equals_ignore_case(name, names.target) || equals_ignore_case(name, names.deadline);
}

std::optional<std::int64_t> parse_integer(std::string_view text) {
    std::int64_t value = 0;
    const auto result = std::from_chars(text.data(), text.data() + text.size(), value);
    if (text.empty() || result.ec != std::errc() || result.ptr != text.data() + text.size()) {
        return std::nullopt;
    }
    return value;
}

} // namespace

std::string_view bearer_key(const request_message& request) {
    const auto value = trim(to_view(request[http::field::authorization]));
    constexpr std::string_view scheme = "bearer ";
    if (value.size() <= scheme.size() || !equals_ignore_case(value.substr(0, scheme.size()), scheme)) {
        return {};
    }
    return trim(value.substr(scheme.size()));
}

std::string_view cookie_value(const request_message& request, std::string_view name) {
    const auto range = request.equal_range(http::field::cookie);
    for (auto it = range.first; it != range.second; ++it) {
        auto rest = to_view(it->value());
        while (!rest.empty()) {
            const auto part = split_off(rest, ';');
            const auto equals = part.find('=');
            if (equals != std::string_view::npos && part.substr(0, equals) == name) {
                return part.substr(equals + 1);
            }
        }
    }
    return {};
}

std::string_view request_path(const request_message& request) {
    const auto target = to_view(request.target());
    return target.substr(0, target.find('?'));
}

std::optional<common::milliseconds> parse_timeout(const request_message& request, std::string_view header) {
    const auto value = parse_integer(trim(to_view(request[{header.data(), header.size()}])));
    if (!value || *value < 0) {
        return std::nullopt;
    }
    return common::milliseconds{std::min(*value, max_timeout_ms)};
}

outgoing_request forwarded_request(const request_message& request, std::string_view body,
                                   const header_names& names, const forwarding_headers& added) {
    outgoing_request out;
    out.method_string(request.method_string());
    out.target(request.target());
    out.version(11);
    const auto listed = connection_listed_headers(request);
    for (const auto& it : request) {
        const auto name = to_view(it.name_string());
        if (!is_hop_by_hop(name, listed) && !is_reserved_header(name, names) &&
            it.name() != http::field::content_length) {
            out.insert(it.name_string(), it.value());
        }
    }
    out.set(names.deadline, std::to_string(std::max<std::int64_t>(added.time_left.count(), 1)));
    out.set(names.target, beast::string_view(added.target.data(), added.target.size()));
    if (!added.team.empty()) {
        out.set(names.team, beast::string_view(added.team.data(), added.team.size()));
    }
    out.body() = {body.data(), body.size()};
    const bool has_body_length =
        request.find(http::field::content_length) != request.end() || request.chunked();
    if (!body.empty() || has_body_length) {
        out.content_length(body.size());
    }
    return out;
}

response_message forwarded_response(response_message response, const request_message& request) {
    response_message out;
    out.result(response.result_int());
    out.reason(response.reason());
    out.version(11);
    const auto listed = connection_listed_headers(response);
    const bool is_head = request.method() == http::verb::head;
    for (const auto& it : response) {
        const bool is_length = it.name() == http::field::content_length;
        if (!is_hop_by_hop(to_view(it.name_string()), listed) && (!is_length || is_head)) {
            out.insert(it.name_string(), it.value());
        }
    }
    out.body() = std::move(response.body());
    const auto status = out.result_int();
    if (!is_head && status != 204 && status != 304) {
        out.content_length(out.body().size());
    }
    return out;
}

std::optional<common::milliseconds> parse_retry_after(const response_message& response) {
    const auto text = to_view(response[http::field::retry_after]);
    double seconds = 0;
    const auto [end, ec] = std::from_chars(text.data(), text.data() + text.size(), seconds);
    if (ec != std::errc{} || end != text.data() + text.size() || !std::isfinite(seconds) || seconds < 0) {
        return std::nullopt;
    }
    const auto longest = std::chrono::duration<double>(traffic::max_rest).count();
    return std::chrono::ceil<common::milliseconds>(std::chrono::duration<double>(std::min(seconds, longest)));
}

std::optional<traffic::load_report> parse_load_report(const response_message& response,
                                                      std::string_view header) {
    auto rest = to_view(response[{header.data(), header.size()}]);
    const auto running = parse_integer(split_off(rest, ','));
    const auto waiting = parse_integer(split_off(rest, ','));
    if (!running || !waiting || *running < 0 || *waiting < 0 || *running + *waiting > 1'000'000) {
        return std::nullopt;
    }
    traffic::load_report report{
        .running = static_cast<int>(*running), .waiting = static_cast<int>(*waiting), .slots = 0, .pace = {}};
    if (const auto slots = parse_integer(split_off(rest, ',')); slots && *slots > 0 && *slots <= max_slots) {
        report.slots = static_cast<int>(*slots);
    }
    if (const auto percent = parse_integer(split_off(rest, ',')); percent && *percent > 0) {
        report.pace = static_cast<double>(std::min(*percent, max_pace_percent)) / 100;
    }
    return report;
}

std::optional<double> parse_endpoint_limit(std::string_view text) {
    const auto digits = trim(text);
    // The standard library also reads signs, "inf" and "nan".
    if (digits.empty() || digits.find_first_not_of("0123456789.") != std::string_view::npos) {
        return std::nullopt;
    }
    double value = 0;
    const auto result =
        std::from_chars(digits.data(), digits.data() + digits.size(), value, std::chars_format::fixed);
    if (result.ptr != digits.data() + digits.size()) {
        return std::nullopt;
    }
    if (result.ec == std::errc::result_out_of_range) {
        return traffic::max_endpoint_limit;
    }
    if (result.ec != std::errc()) {
        return std::nullopt;
    }
    return traffic::valid_limit(value);
}

} // namespace lycheegap::gateway
