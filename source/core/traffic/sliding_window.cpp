#include "sliding_window.h"

#include <algorithm>

namespace lycheegap::traffic {

std::size_t count_in(sliding_window& window, common::time_point now, common::milliseconds length) {
    while (!window.moments.empty() && window.moments.front() + length <= now) {
        window.moments.pop_front();
    }
    return window.moments.size();
}

bool take_within(sliding_window& window, common::time_point now, common::milliseconds length, double limit) {
    if (static_cast<double>(count_in(window, now, length)) + 1 > limit) {
        return false;
    }
    window.moments.push_back(now);
    return true;
}

common::milliseconds until_room(const sliding_window& window, common::time_point now,
                                common::milliseconds length) {
    if (window.moments.empty()) {
        return common::milliseconds{0};
    }
    const auto left = common::milliseconds_between(now, window.moments.front() + length);
    return common::milliseconds{std::max<std::int64_t>(left, 0)};
}

} // namespace lycheegap::traffic
