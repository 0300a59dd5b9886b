#pragma once

#include <chrono>
#include <cstdint>

namespace lycheegap::common {

/// Monotonic clock of this host; its times are meaningless on other hosts.
using monotonic = std::chrono::steady_clock;
/// A point in time on this host's monotonic clock. Deadlines are of this type.
using time_point = monotonic::time_point;
using std::chrono::milliseconds;

/// Monotonic clock that keeps running while the machine is suspended, for periods granted by other hosts:
/// they expire during a suspension too.
struct boot_clock {
    using duration = std::chrono::nanoseconds;
    using rep = duration::rep;
    using period = duration::period;
    using time_point = std::chrono::time_point<boot_clock>;
    static constexpr bool is_steady = true;

    static time_point now() noexcept;
};

/// Milliseconds from `from` to `to`, rounded toward zero; negative when `to` is earlier.
inline std::int64_t milliseconds_between(boot_clock::time_point from, boot_clock::time_point to) {
    return std::chrono::duration_cast<milliseconds>(to - from).count();
}

/// Milliseconds from `from` to `to`, rounded toward zero; negative when `to` is earlier.
inline std::int64_t milliseconds_between(time_point from, time_point to) {
    return std::chrono::duration_cast<milliseconds>(to - from).count();
}

/// Seconds from `from` to `to`, not rounded; negative when `to` is earlier.
inline double seconds_between(time_point from, time_point to) {
    return std::chrono::duration<double>(to - from).count();
}

/// Wall-clock time in ms since 1970-01-01 UTC, for answers to clients outside the fleet.
inline std::int64_t unix_milliseconds() {
    const auto now = std::chrono::system_clock::now().time_since_epoch();
    return std::chrono::duration_cast<milliseconds>(now).count();
}

} // namespace lycheegap::common
