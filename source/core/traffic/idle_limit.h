#pragma once

#include <cstddef>
#include <cstdint>
#include <vector>

#include "core/common/clock.h"

namespace lycheegap::traffic {

/// A connection that an endpoint had closed or forgotten while it was idle.
struct idle_closure {
    /// Hash of the endpoint's id.
    std::uint64_t endpoint{0};
    /// How long the connection had been idle; the endpoint closed it no later.
    common::milliseconds rest{0};
    common::time_point found_at;
};

/// What this host has learned about how long the endpoints of a service keep idle connections.
struct idle_limit {
    /// At most `max_idle_closures`, oldest first.
    std::vector<idle_closure> closures;
    /// Longest rest of a connection that was still open, and when that was seen.
    common::milliseconds survived{0};
    common::time_point survived_at;
};

inline constexpr std::size_t max_idle_closures = 16;

/// Records that a connection which had been idle for `rest` was closed.
void note_idle_closed(idle_limit& limit, std::uint64_t endpoint, common::milliseconds rest,
                      common::time_point now);
/// Records that a request was answered over a connection which had been idle for `rest`.
void note_idle_survived(idle_limit& limit, common::milliseconds rest, common::time_point now);

/// Longest rest after which a connection may carry a request that must not be repeated. Without evidence of
/// recent survivors, only a short one.
common::milliseconds longest_sure_rest(const idle_limit& limit, common::time_point now);

/// Whether anything learned still counts.
bool has_evidence(const idle_limit& limit, common::time_point now);

} // namespace lycheegap::traffic
