#include "caller_key.h"

#include <algorithm>
#include <cctype>

namespace lycheegap::execution {

namespace {

std::string_view trimmed(std::string_view text) {
    while (text.starts_with(' ')) {
        text.remove_prefix(1);
    }
    while (text.ends_with(' ')) {
        text.remove_suffix(1);
    }
    return text;
}

int hex_digit(char c) {
    if (c >= '0' && c <= '9') {
        return c - '0';
    }
    const int lower = std::tolower(static_cast<unsigned char>(c));
    return lower >= 'a' && lower <= 'f' ? lower - 'a' + 10 : -1;
}

std::string percent_decoded(std::string_view text) {
    std::string out;
    for (std::size_t n = 0; n < text.size(); ++n) {
        const bool escape = text[n] == '%' && n + 2 < text.size();
        const int high = escape ? hex_digit(text[n + 1]) : -1;
        const int low = escape ? hex_digit(text[n + 2]) : -1;
        if (high < 0 || low < 0) {
            out += text[n];
            continue;
        }
        out += static_cast<char>(high * 16 + low);
        n += 2;
    }
    return out;
}

/// Removes the parts named `name` from text of the form a=1<separator>b=2 and keeps the first one's value.
/// Text without such a part stays as it is.
std::string without_part(std::string_view text, char separator, std::string_view name,
                         std::optional<std::string>& value) {
    const std::string whole(text);
    bool found = false;
    std::string kept;
    while (!text.empty()) {
        const auto end = std::min(text.find(separator), text.size());
        const auto part = text.substr(0, end);
        text.remove_prefix(std::min(end + 1, text.size()));
        const auto equals = std::min(part.find('='), part.size());
        // Endpoints decode names too: a key under an escaped name would reach them.
        if (same_name(percent_decoded(trimmed(part.substr(0, equals))), name)) {
            if (!value) {
                value = percent_decoded(trimmed(part.substr(std::min(equals + 1, part.size()))));
            }
            found = true;
            continue;
        }
        if (!kept.empty()) {
            kept += separator;
        }
        kept += part;
    }
    return found ? kept : whole;
}

std::optional<std::string> take_from_headers(std::vector<header>& headers) {
    std::optional<std::string> value;
    for (const auto& it : headers) {
        if (!value && same_name(it.name, key_header)) {
            value = std::string(trimmed(it.value));
        }
    }
    std::erase_if(headers, [](const header& it) { return same_name(it.name, key_header); });
    return value;
}

std::optional<std::string> take_from_cookies(std::vector<header>& headers) {
    std::optional<std::string> value;
    const auto is_emptied = [&value](header& it) {
        if (!same_name(it.name, "cookie")) {
            return false;
        }
        const auto kept = without_part(it.value, ';', key_cookie, value);
        const bool emptied = kept.empty() && !it.value.empty();
        it.value = kept;
        return emptied;
    };
    std::vector<header> left;
    for (auto& it : headers) {
        if (!is_emptied(it)) {
            left.push_back(std::move(it));
        }
    }
    headers = std::move(left);
    return value;
}

} // namespace

std::optional<std::string> take_key(request_head& head) {
    auto from_header = take_from_headers(head.headers);
    std::optional<std::string> from_query;
    head.query = without_part(head.query, '&', key_parameter, from_query);
    auto from_cookie = take_from_cookies(head.headers);
    if (from_header) {
        return from_header;
    }
    return from_query ? from_query : from_cookie;
}

std::string_view find_header(const std::vector<header>& headers, std::string_view name) {
    for (const auto& it : headers) {
        if (same_name(it.name, name)) {
            return it.value;
        }
    }
    return {};
}

bool same_name(std::string_view a, std::string_view b) {
    const auto equal = [](unsigned char x, unsigned char y) { return std::tolower(x) == std::tolower(y); };
    return std::equal(a.begin(), a.end(), b.begin(), b.end(), equal);
}

} // namespace lycheegap::execution
