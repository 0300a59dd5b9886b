#include "message_headers.h"

#include <algorithm>
#include <array>
#include <charconv>
#include <vector>

namespace lycheegap::gateway {

namespace {

// Longest wait that a caller may state.
constexpr std::int64_t longest_wait_ms = 3'600'000;

constexpr std::array<std::string_view, 8> connection_headers = {
    "connection", "keep-alive", "proxy-connection", "te", "trailer", "transfer-encoding", "upgrade", "expect",
};

bool same_text(std::string_view a, std::string_view b) {
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

/// Takes the part before the next separator off `text`.
std::string_view take_part(std::string_view& text, char separator) {
    const auto end = std::min(text.find(separator), text.size());
    const auto part = trim(text.substr(0, end));
    text.remove_prefix(std::min(end + 1, text.size()));
    return part;
}

/// Header names that the message's Connection header lists.
template <typename Message>
std::vector<std::string> listed_headers(const Message& from) {
    std::vector<std::string> names;
    const auto range = from.equal_range(http::field::connection);
    for (auto it = range.first; it != range.second; ++it) {
        auto rest = to_view(it->value());
        while (!rest.empty()) {
            names.emplace_back(take_part(rest, ','));
        }
    }
    return names;
}

bool concerns_connection(std::string_view name, const std::vector<std::string>& listed) {
    const auto same = [&](std::string_view it) { return same_text(it, name); };
    return std::any_of(connection_headers.begin(), connection_headers.end(), same) ||
           std::any_of(listed.begin(), listed.end(), same);
}

/// Headers that this host sets itself, whatever the caller sent.
bool is_own(std::string_view name, const header_names& names) {
    return same_text(name, "authorization") || same_text(name, names.team) || same_text(name, names.target) ||
           same_text(name, names.deadline);
}

std::optional<std::int64_t> whole_number(std::string_view text) {
    std::int64_t value = 0;
    const auto result = std::from_chars(text.data(), text.data() + text.size(), value);
    if (text.empty() || result.ec != std::errc() || result.ptr != text.data() + text.size()) {
        return std::nullopt;
    }
    return value;
}

} // namespace

std::string_view bearer_key(const request_message& from) {
    const auto value = trim(to_view(from[http::field::authorization]));
    constexpr std::string_view scheme = "bearer ";
    if (value.size() <= scheme.size() || !same_text(value.substr(0, scheme.size()), scheme)) {
        return {};
    }
    return trim(value.substr(scheme.size()));
}

std::string_view cookie_value(const request_message& from, std::string_view name) {
    const auto range = from.equal_range(http::field::cookie);
    for (auto it = range.first; it != range.second; ++it) {
        auto rest = to_view(it->value());
        while (!rest.empty()) {
            const auto part = take_part(rest, ';');
            const auto equals = part.find('=');
            if (equals != std::string_view::npos && part.substr(0, equals) == name) {
                return part.substr(equals + 1);
            }
        }
    }
    return {};
}

std::string_view path_of(const request_message& from) {
    const auto target = to_view(from.target());
    return target.substr(0, target.find('?'));
}

std::optional<common::milliseconds> stated_wait(const request_message& from, std::string_view header) {
    const auto value = whole_number(trim(to_view(from[{header.data(), header.size()}])));
    if (!value || *value < 0) {
        return std::nullopt;
    }
    return common::milliseconds{std::min(*value, longest_wait_ms)};
}

request_message onward_request(const request_message& from, const header_names& names,
                               const onward_headers& added) {
    request_message out;
    out.method_string(from.method_string());
    out.target(from.target());
    out.version(11);
    const auto listed = listed_headers(from);
    for (const auto& it : from) {
        const auto name = to_view(it.name_string());
        if (!concerns_connection(name, listed) && !is_own(name, names) &&
            it.name() != http::field::content_length) {
            out.insert(it.name_string(), it.value());
        }
    }
    out.set(names.deadline, std::to_string(std::max<std::int64_t>(added.time_left.count(), 1)));
    out.set(names.target, beast::string_view(added.target.data(), added.target.size()));
    if (!added.team.empty()) {
        out.set(names.team, beast::string_view(added.team.data(), added.team.size()));
    }
    out.body() = from.body();
    const bool states_length = from.find(http::field::content_length) != from.end() || from.chunked();
    if (!from.body().empty() || states_length) {
        out.content_length(from.body().size());
    }
    return out;
}

response_message onward_answer(response_message answer, const request_message& to) {
    response_message out;
    out.result(answer.result_int());
    out.reason(answer.reason());
    out.version(11);
    const auto listed = listed_headers(answer);
    const bool is_head = to.method() == http::verb::head;
    for (const auto& it : answer) {
        const bool is_length = it.name() == http::field::content_length;
        if (!concerns_connection(to_view(it.name_string()), listed) && (!is_length || is_head)) {
            out.insert(it.name_string(), it.value());
        }
    }
    out.body() = std::move(answer.body());
    const auto status = out.result_int();
    if (!is_head && status != 204 && status != 304) {
        out.content_length(out.body().size());
    }
    return out;
}

std::optional<traffic::load_report> reported_load(const response_message& answer, std::string_view header) {
    auto rest = to_view(answer[{header.data(), header.size()}]);
    const auto running = whole_number(take_part(rest, ','));
    const auto waiting = whole_number(take_part(rest, ','));
    if (!running || !waiting || *running < 0 || *waiting < 0 || *running + *waiting > 1'000'000) {
        return std::nullopt;
    }
    return traffic::load_report{static_cast<int>(*running), static_cast<int>(*waiting)};
}

} // namespace lycheegap::gateway
