#pragma once

#include <compare>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace lycheegap::execution {

/// Prefix of request ids, given to a caller in a look-up answer. The issuing host stores the outcomes of the
/// ids made from it.
struct ticket {
    /// Incarnation that issued the ticket; only it runs requests with the ticket's ids.
    std::uint64_t incarnation{0};
    /// Time of issue in milliseconds since the issuing host's start, on its own clock.
    std::int64_t issued_ms{0};
    /// Random, so that other callers cannot guess the ticket.
    std::uint64_t nonce{0};

    // NOLINTNEXTLINE(modernize-use-nullptr): the check misreads the defaulted comparison.
    auto operator<=>(const ticket&) const = default;
};

/// Identifies one non-idempotent request of one caller.
struct request_id {
    ticket source;
    /// Chosen by the caller, different for each request made with the ticket.
    std::uint64_t counter{0};

    // NOLINTNEXTLINE(modernize-use-nullptr): as above.
    auto operator<=>(const request_id&) const = default;
};

/// Text of a ticket: "<incarnation>-<issued>-<nonce>" in hexadecimal of fixed width.
std::string format_ticket(const ticket& value);

/// Text of an id: the ticket's text, a dot and the counter in decimal.
std::string format_request_id(const request_id& id);

/// Accepts exactly what `format_request_id` writes; empty for any other text.
std::optional<request_id> parse_request_id(std::string_view text);

/// Whether a text may be forwarded as the id of an idempotent request: 1 to 128 letters, digits, '.', '_',
/// '-' and ':'.
bool is_plain_id(std::string_view text);

} // namespace lycheegap::execution
