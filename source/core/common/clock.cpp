#include "clock.h"

#include <ctime>

namespace lycheegap::common {

boot_clock::time_point boot_clock::now() noexcept {
    timespec now{};
    clock_gettime(CLOCK_BOOTTIME, &now);
    return time_point(std::chrono::seconds(now.tv_sec) + std::chrono::nanoseconds(now.tv_nsec));
}

} // namespace lycheegap::common
