#pragma once

#include <atomic>
#include <mutex>
#include <thread>
#include <vector>

#include "soak_checks.h"
#include "soak_fleet.h"

namespace lycheegap::soak {

/// Caller threads; each sends requests one after the other until `stop`.
class soak_callers {
public:
    soak_callers(const soak_fleet& fleet, std::size_t callers, std::uint64_t seed);
    soak_callers(const soak_callers&) = delete;
    soak_callers& operator=(const soak_callers&) = delete;
    soak_callers(soak_callers&&) = delete;
    soak_callers& operator=(soak_callers&&) = delete;
    ~soak_callers();

    /// Ends all callers and returns the records of all calls.
    std::vector<call_record> stop();
    /// Records of the calls finished so far.
    std::vector<call_record> records();

private:
    /// Body of caller thread `n`.
    void send_until_stopped(std::size_t n, std::uint64_t seed);

    const soak_fleet& fleet_;
    std::atomic<bool> stopping_{false};
    std::mutex mutex_;
    std::vector<call_record> records_;
    std::vector<std::thread> threads_;
};

} // namespace lycheegap::soak
