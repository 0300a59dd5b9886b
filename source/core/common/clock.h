#pragma once

#include <chrono>
#include <cstdint>

namespace lycheegap::common {

/// Monotonic time of this host. Never compared with another host's.
using monotonic = std::chrono::steady_clock;
/// A moment on this host's monotonic clock; all deadlines are of this type.
using time_point = monotonic::time_point;
using std::chrono::milliseconds;

/// Monotonic time that goes on while the machine is suspended: what others allow for a time runs out
/// meanwhile.
struct boot_clock {
    using duration = std::chrono::nanoseconds;
    using rep = duration::rep;
    using period = duration::period;
    using time_point = std::chrono::time_point<boot_clock>;
    static constexpr bool is_steady = true;

    static time_point now() noexcept;
};

/// Whole milliseconds from `from` to `to`, negative when `to` is past.
inline std::int64_t milliseconds_between(boot_clock::time_point from, boot_clock::time_point to) {
    return std::chrono::duration_cast<milliseconds>(to - from).count();
}

/// Whole milliseconds from `from` to `to`, negative when `to` is past.
inline std::int64_t milliseconds_between(time_point from, time_point to) {
    return std::chrono::duration_cast<milliseconds>(to - from).count();
}

/// Seconds from `from` to `to` with fractions.
inline double seconds_between(time_point from, time_point to) {
    return std::chrono::duration<double>(to - from).count();
}

/// Wall clock in ms since 1970, for answers that leave the fleet.
inline std::int64_t unix_milliseconds() {
    const auto now = std::chrono::system_clock::now().time_since_epoch();
    return std::chrono::duration_cast<milliseconds>(now).count();
}

} // namespace lycheegap::common
