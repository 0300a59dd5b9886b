#include "sliding_window.h"

#include <algorithm>

namespace lycheegap::traffic {

std::size_t count_events(sliding_window& window, common::time_point now, common::milliseconds length) {
    while (!window.event_times.empty() && window.event_times.front() + length <= now) {
        window.event_times.pop_front();
    }
    return window.event_times.size();
}

bool try_record_event(sliding_window& window, common::time_point now, common::milliseconds length,
                      double limit) {
    if (static_cast<double>(count_events(window, now, length)) + 1 > limit) {
        return false;
    }
    window.event_times.push_back(now);
    return true;
}

} // namespace lycheegap::traffic
