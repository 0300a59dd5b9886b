#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string_view>

#include "fleet_share.h"
#include "rate_share.h"

namespace lycheegap::traffic {

// An endpoint in need names in its answers how many requests per second it takes from all hosts together, for
// as long as its answers say so. A few hosts share the limit, each with a token bucket. The others send
// nothing. They learn from the sharing hosts when the limit changes or ends.

/// Smallest limit that is kept. With less, too few answers would tell whether the limit still holds.
inline constexpr double min_endpoint_limit = 0.25;
inline constexpr double max_endpoint_limit = 1e6;

/// The limit within the bounds above; empty for a number that is negative or not finite.
std::optional<double> valid_limit(double per_second);

/// What this host knows of the limit that an endpoint names.
struct endpoint_limit {
    /// Requests per second from all hosts together; empty while the endpoint names none.
    std::optional<double> per_second;
    /// When the answer that says so arrived, at this host or another one; the epoch if there was none.
    common::time_point told_at;
    /// Tokens of this host.
    rate_bucket tokens;
    /// Other hosts are still to be notified of `per_second`.
    bool is_news{false};
    /// The value of which they were notified last.
    std::optional<double> notified;
    /// When this host last sent a request without a share, to learn whether the limit still holds.
    common::time_point asked_at;
};

/// Records what an answer of the endpoint says to this host. Returns whether it is news for the other hosts:
/// a limit that begins, ends, or differs considerably.
bool note_named_limit(endpoint_limit& limit, std::optional<double> per_second, common::time_point now);

/// Records what an answer said to another host at `at`, unless this host knows of a later one. Returns
/// whether it is news.
bool note_shared_limit(endpoint_limit& limit, std::optional<double> per_second, common::time_point at,
                       common::time_point now);

/// Whether what is known of the limit is worth passing on: it holds, or ended recently.
bool is_worth_sharing(const endpoint_limit& limit, common::time_point now);

/// Whether the limit leaves room for a request of this host now. Always without a limit.
bool has_limit_room(endpoint_limit& limit, const membership_knowledge& knowledge,
                    std::string_view endpoint_id, common::time_point now);

/// Counts a request for which there was room.
void count_limited_request(endpoint_limit& limit, const membership_knowledge& knowledge,
                           std::string_view endpoint_id, common::time_point now);

} // namespace lycheegap::traffic
