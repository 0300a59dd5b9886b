#pragma once

#include <functional>
#include <map>

#include "core/common/clock.h"

namespace lycheegap::traffic {

/// Start time of the simulations in this folder.
inline const common::time_point model_start{std::chrono::seconds(1000)};

/// Runs a simulation's events in order of time, without waiting.
struct virtual_time {
    /// Pending events by their time in ms.
    std::multimap<double, std::function<void()>> events;
    double now_ms{0};

    [[nodiscard]] common::time_point now() const {
        return model_start + std::chrono::duration_cast<common::monotonic::duration>(
                                 std::chrono::duration<double, std::milli>(now_ms));
    }

    void run_all() {
        while (!events.empty()) {
            const auto next = events.extract(events.begin());
            now_ms = next.key();
            next.mapped()();
        }
    }
};

} // namespace lycheegap::traffic
