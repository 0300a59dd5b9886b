#pragma once

#include <compare>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace lycheegap::execution {

/// What a look-up answer gives a caller to make request ids of. Issued by the host that remembers the ids.
struct ticket {
    /// Only this incarnation may run requests with ids of the ticket.
    std::uint64_t incarnation{0};
    /// Milliseconds since the issuing host's start, on its own clock.
    std::int64_t issued_ms{0};
    /// Random, so that nobody else can name the ticket.
    std::uint64_t nonce{0};

    auto operator<=>(const ticket&) const = default;
};

/// Names one non-idempotent request of one caller.
struct request_id {
    ticket source;
    /// Chosen by the caller; each request has its own.
    std::uint64_t counter{0};

    auto operator<=>(const request_id&) const = default;
};

/// Text of a ticket: "<incarnation>-<issued>-<nonce>" in hexadecimal of fixed width.
std::string format_ticket(const ticket& source);

/// Text of an id: the ticket's text, a point and the counter in decimal.
std::string format_request_id(const request_id& source);

/// Reads exactly what `format_request_id` writes; empty for anything else.
std::optional<request_id> parse_request_id(std::string_view text);

/// Whether a text may be passed on as an id of an idempotent request: 1 to 128 letters, digits, '.', '_', '-'
/// and ':'.
bool is_plain_id(std::string_view text);

} // namespace lycheegap::execution
