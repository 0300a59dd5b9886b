#include "request_id.h"

#include <algorithm>
#include <cctype>
#include <charconv>

#include <fmt/format.h>

namespace lycheegap::execution {

namespace {

constexpr std::size_t long_digits = 16;
constexpr std::size_t issued_digits = 12;
constexpr std::size_t issued_at = long_digits + 1;
constexpr std::size_t nonce_at = issued_at + issued_digits + 1;
constexpr std::size_t ticket_length = nonce_at + long_digits;
constexpr std::size_t counter_digit_limit = 18;
constexpr std::size_t plain_id_limit = 128;
constexpr int hexadecimal = 16;
constexpr int decimal = 10;

template <typename Number>
std::optional<Number> parse_number(std::string_view text, int base) {
    Number value{};
    const auto* end = text.data() + text.size();
    const auto result = std::from_chars(text.data(), end, value, base);
    return result.ec == std::errc() && result.ptr == end ? std::optional(value) : std::nullopt;
}

std::optional<ticket> parse_ticket(std::string_view text) {
    const auto incarnation = parse_number<std::uint64_t>(text.substr(0, long_digits), hexadecimal);
    const auto issued = parse_number<std::int64_t>(text.substr(issued_at, issued_digits), hexadecimal);
    const auto nonce = parse_number<std::uint64_t>(text.substr(nonce_at), hexadecimal);
    if (!incarnation || !issued || !nonce || *issued < 0) {
        return std::nullopt;
    }
    return ticket{*incarnation, *issued, *nonce};
}

} // namespace

std::string format_ticket(const ticket& source) {
    return fmt::format("{:016x}-{:012x}-{:016x}", source.incarnation, source.issued_ms, source.nonce);
}

std::string format_request_id(const request_id& source) {
    return fmt::format("{}.{}", format_ticket(source.source), source.counter);
}

std::optional<request_id> parse_request_id(std::string_view text) {
    if (text.size() <= ticket_length + 1 || text.size() > ticket_length + 1 + counter_digit_limit) {
        return std::nullopt;
    }
    const auto source = parse_ticket(text.substr(0, ticket_length));
    const auto counter = parse_number<std::uint64_t>(text.substr(ticket_length + 1), decimal);
    if (!source || !counter) {
        return std::nullopt;
    }
    const request_id parsed{*source, *counter};
    // One request must not have two spellings.
    return format_request_id(parsed) == text ? std::optional(parsed) : std::nullopt;
}

bool is_plain_id(std::string_view text) {
    const auto allowed = [](char c) {
        return std::isalnum(static_cast<unsigned char>(c)) != 0 || c == '.' || c == '_' || c == '-' ||
               c == ':';
    };
    return !text.empty() && text.size() <= plain_id_limit && std::all_of(text.begin(), text.end(), allowed);
}

} // namespace lycheegap::execution
