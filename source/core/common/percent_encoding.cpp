#include "percent_encoding.h"

#include <cctype>
#include <optional>

namespace lycheegap::common {

namespace {

constexpr std::string_view hex_digits = "0123456789ABCDEF";
constexpr std::size_t escape_size = 3;

// std::isalnum accepts more letters in some locales.
bool is_letter_or_digit(char c) {
    return (c >= '0' && c <= '9') || (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z');
}

bool is_unreserved(char c) {
    return is_letter_or_digit(c) || std::string_view("-._~").find(c) != std::string_view::npos;
}

int hex_value(char c) {
    const auto at = hex_digits.find(static_cast<char>(std::toupper(static_cast<unsigned char>(c))));
    return at == std::string_view::npos ? -1 : static_cast<int>(at);
}

/// The byte that the text begins with as an escape.
std::optional<char> decode_escape(std::string_view text) {
    if (text.size() < escape_size || text[0] != '%' || hex_value(text[1]) < 0 || hex_value(text[2]) < 0) {
        return std::nullopt;
    }
    return static_cast<char>(hex_value(text[1]) * 16 + hex_value(text[2]));
}

} // namespace

std::string percent_encode(std::string_view text, std::string_view kept) {
    std::string encoded;
    for (const char c : text) {
        if (is_unreserved(c) || kept.find(c) != std::string_view::npos) {
            encoded += c;
            continue;
        }
        const auto byte = static_cast<unsigned char>(c);
        encoded += '%';
        encoded += hex_digits[byte >> 4U];
        encoded += hex_digits[byte & 0xFU];
    }
    return encoded;
}

std::string percent_decode(std::string_view text) {
    std::string decoded;
    while (!text.empty()) {
        const auto byte = decode_escape(text);
        decoded += byte.value_or(text.front());
        text.remove_prefix(byte ? escape_size : 1);
    }
    return decoded;
}

bool is_valid_query(std::string_view query) {
    constexpr std::string_view reserved = "!$&'()*+,;=:@/?";
    while (!query.empty()) {
        const char c = query.front();
        const bool is_escape = decode_escape(query).has_value();
        if (!is_escape && !is_unreserved(c) && reserved.find(c) == std::string_view::npos) {
            return false;
        }
        query.remove_prefix(is_escape ? escape_size : 1);
    }
    return true;
}

} // namespace lycheegap::common
