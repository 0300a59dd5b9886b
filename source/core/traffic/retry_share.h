#pragma once

#include "sliding_window.h"

namespace lycheegap::traffic {

/// The fleet's limit on second sendings, and how many hosts share it.
struct retry_limit {
    /// Second sendings for each request.
    double ratio{0.2};
    /// Second sendings of the whole fleet in a window, beside the ratio.
    double slack{0};
    common::milliseconds window{10000};
    /// 0: this host has no part of the slack.
    std::size_t hosts{1};
};

/// Requests and second sendings of this host for one service.
struct retry_share {
    sliding_window requests;
    sliding_window repeats;
};

/// Counts a request.
void note_request(retry_share& share, common::time_point now);

/// Counts a second sending when this host's part of the limit allows it; no message between hosts is needed.
bool take_repeat(retry_share& share, const retry_limit& limit, common::time_point now);

/// Whether more than half of this host's part of the limit is left.
bool has_repeat_room(retry_share& share, const retry_limit& limit, common::time_point now);

} // namespace lycheegap::traffic
