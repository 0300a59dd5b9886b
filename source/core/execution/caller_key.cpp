#include "caller_key.h"

#include <algorithm>
#include <cctype>

#include "core/common/percent_encoding.h"

namespace lycheegap::execution {

namespace {

std::string_view trimmed(std::string_view text) {
    // Endpoints also trim tabs.
    constexpr std::string_view blanks = " \t";
    text.remove_prefix(std::min(text.find_first_not_of(blanks), text.size()));
    text.remove_suffix(text.size() - std::min(text.find_last_not_of(blanks) + 1, text.size()));
    return text;
}

/// Removes the assignments to `name` from text of the form a=1<separator>b=2 and stores the value of the
/// first in `value` unless it has one. Text without such an assignment is returned unchanged.
std::string remove_parameter(std::string_view text, std::string_view separators, std::string_view name,
                             std::optional<std::string>& value) {
    const std::string original(text);
    bool found = false;
    std::string remaining;
    char separator = separators.front();
    char next_separator = separator;
    while (!text.empty()) {
        separator = next_separator;
        const auto end = std::min(text.find_first_of(separators), text.size());
        next_separator = end < text.size() ? text[end] : separator;
        const auto parameter = text.substr(0, end);
        text.remove_prefix(std::min(end + 1, text.size()));
        const auto equals = std::min(parameter.find('='), parameter.size());
        // Endpoints decode names too, so a key under a percent-encoded name must be found as well.
        if (equals_ignoring_case(common::percent_decode(trimmed(parameter.substr(0, equals))), name)) {
            if (!value) {
                value =
                    common::percent_decode(trimmed(parameter.substr(std::min(equals + 1, parameter.size()))));
            }
            found = true;
            continue;
        }
        if (!remaining.empty()) {
            remaining += separator;
        }
        remaining += parameter;
    }
    return found ? remaining : original;
}

std::optional<std::string> take_from_headers(std::vector<header>& headers) {
    std::optional<std::string> value;
    for (const auto& it : headers) {
        if (!value && equals_ignoring_case(it.name, key_header)) {
            value = std::string(trimmed(it.value));
        }
    }
    std::erase_if(headers, [](const header& it) { return equals_ignoring_case(it.name, key_header); });
    return value;
}

std::optional<std::string> take_from_cookies(std::vector<header>& headers) {
    std::optional<std::string> value;
    // Removes the key from a cookie header; true if the header contained nothing else.
    const auto remove_key = [&value](header& it) {
        if (!equals_ignoring_case(it.name, "cookie")) {
            return false;
        }
        const auto remaining = remove_parameter(it.value, ";", key_cookie, value);
        const bool emptied = remaining.empty() && !it.value.empty();
        it.value = remaining;
        return emptied;
    };
    std::vector<header> remaining_headers;
    for (auto& it : headers) {
        if (!remove_key(it)) {
            remaining_headers.push_back(std::move(it));
        }
    }
    headers = std::move(remaining_headers);
    return value;
}

/// Whether a header is a referrer with a key: a page that was requested with a key in its query has the key
/// in the referrer of the requests that follow.
bool names_key(const header& it) {
    if (!equals_ignoring_case(it.name, "referer")) {
        return false;
    }
    auto text = common::percent_decode(it.value);
    std::transform(text.begin(), text.end(), text.begin(),
                   [](unsigned char c) { return static_cast<char>(std::tolower(c)); });
    return text.find(key_parameter) != std::string::npos;
}

} // namespace

std::optional<std::string> extract_key(request_head& head) {
    auto from_header = take_from_headers(head.headers);
    std::optional<std::string> from_query;
    head.query = remove_parameter(head.query, "&;", key_parameter, from_query);
    auto from_cookie = take_from_cookies(head.headers);
    std::erase_if(head.headers, &names_key);
    if (from_header) {
        return from_header;
    }
    return from_query ? from_query : from_cookie;
}

std::string_view find_header(const std::vector<header>& headers, std::string_view name) {
    for (const auto& it : headers) {
        if (equals_ignoring_case(it.name, name)) {
            return it.value;
        }
    }
    return {};
}

bool equals_ignoring_case(std::string_view a, std::string_view b) {
    const auto equal_ignoring_case = [](unsigned char x, unsigned char y) {
        return std::tolower(x) == std::tolower(y);
    };
    return std::equal(a.begin(), a.end(), b.begin(), b.end(), equal_ignoring_case);
}

} // namespace lycheegap::execution
