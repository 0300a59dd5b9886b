#pragma once

#include "sliding_window.h"

namespace lycheegap::traffic {

/// Fleet-wide retry limit of one service, divided among the hosts.
struct retry_limit {
    /// Retries per request.
    double ratio{0.2};
    /// Retries of the whole fleet per window, in addition to the ratio.
    double slack{0};
    common::milliseconds window{10000};
    /// Hosts that share the slack; 0 if this host has no share of it.
    std::size_t hosts{1};
};

/// Requests and retries of this host for one service, which its retry budget is computed from.
struct retry_share {
    sliding_window requests;
    sliding_window retries;
};

/// Records a request, which adds to the retry budget.
void note_request(retry_share& share, common::time_point now);

/// Requests per second over the window of the limit.
double request_rate(retry_share& share, const retry_limit& limit, common::time_point now);

/// Records a retry if this host's share of the limit allows it, and returns whether it does. Needs no
/// messages between hosts.
bool take_retry(retry_share& share, const retry_limit& limit, common::time_point now);

/// Retries that this host's share of the limit still allows now; not below 0.
double retries_left(retry_share& share, const retry_limit& limit, common::time_point now);

/// Whether more than half of this host's share of the limit is unused.
bool has_spare_retry_budget(retry_share& share, const retry_limit& limit, common::time_point now);

} // namespace lycheegap::traffic
