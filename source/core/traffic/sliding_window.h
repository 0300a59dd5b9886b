#pragma once

#include <cstddef>
#include <deque>

#include "core/common/clock.h"

namespace lycheegap::traffic {

/// Times of recent events, oldest first.
struct sliding_window {
    std::deque<common::time_point> event_times;
};

/// Drops events that are `length` or more before `now`, and returns the number of those left.
std::size_t count_events(sliding_window& window, common::time_point now, common::milliseconds length);

/// Records an event at `now` unless the last `length` would then hold more than `limit` events. Returns
/// whether it was recorded.
bool try_record_event(sliding_window& window, common::time_point now, common::milliseconds length,
                      double limit);

} // namespace lycheegap::traffic
