#include "request_id.h"

#include <algorithm>
#include <cctype>
#include <charconv>

#include <fmt/format.h>

namespace lycheegap::execution {

namespace {

constexpr std::size_t uint64_hex_digits = 16;
constexpr std::size_t issued_hex_digits = 12;
constexpr std::size_t issued_offset = uint64_hex_digits + 1;
constexpr std::size_t nonce_offset = issued_offset + issued_hex_digits + 1;
constexpr std::size_t ticket_length = nonce_offset + uint64_hex_digits;
constexpr std::size_t max_counter_digits = 18;
constexpr std::size_t max_plain_id_length = 128;
constexpr int hex_base = 16;
constexpr int decimal_base = 10;

template <typename Number>
std::optional<Number> parse_number(std::string_view text, int base) {
    Number value{};
    const auto* end = text.data() + text.size();
    const auto result = std::from_chars(text.data(), end, value, base);
    return result.ec == std::errc() && result.ptr == end ? std::optional(value) : std::nullopt;
}

std::optional<ticket> parse_ticket(std::string_view text) {
    const auto incarnation = parse_number<std::uint64_t>(text.substr(0, uint64_hex_digits), hex_base);
    const auto issued = parse_number<std::int64_t>(text.substr(issued_offset, issued_hex_digits), hex_base);
    const auto nonce = parse_number<std::uint64_t>(text.substr(nonce_offset), hex_base);
    if (!incarnation || !issued || !nonce || *issued < 0) {
        return std::nullopt;
    }
    return ticket{*incarnation, *issued, *nonce};
}

} // namespace

std::string format_ticket(const ticket& value) {
    return fmt::format("{:016x}-{:012x}-{:016x}", value.incarnation, value.issued_ms, value.nonce);
}

std::string format_request_id(const request_id& id) {
    return fmt::format("{}.{}", format_ticket(id.source), id.counter);
}

std::optional<request_id> parse_request_id(std::string_view text) {
    if (text.size() <= ticket_length + 1 || text.size() > ticket_length + 1 + max_counter_digits) {
        return std::nullopt;
    }
    const auto source = parse_ticket(text.substr(0, ticket_length));
    const auto counter = parse_number<std::uint64_t>(text.substr(ticket_length + 1), decimal_base);
    if (!source || !counter) {
        return std::nullopt;
    }
    const request_id parsed{*source, *counter};
    // from_chars also accepts capitals and leading zeros, but an id must have only one text form.
    return format_request_id(parsed) == text ? std::optional(parsed) : std::nullopt;
}

bool is_plain_id(std::string_view text) {
    const auto allowed = [](char c) {
        return std::isalnum(static_cast<unsigned char>(c)) != 0 || c == '.' || c == '_' || c == '-' ||
               c == ':';
    };
    return !text.empty() && text.size() <= max_plain_id_length &&
           std::all_of(text.begin(), text.end(), allowed);
}

} // namespace lycheegap::execution
