#pragma once

#include <mutex>

#include "lock_rank.h"

namespace lycheegap::common {

/// Mutex with a rank in the lock order. Builds with LYCHEEGAP_CHECK_LOCK_RANKS abort the process when a
/// thread breaks the order. Works with std::lock_guard, std::unique_lock and std::condition_variable_any.
class ranked_mutex {
public:
    explicit ranked_mutex(lock_rank rank);
    ranked_mutex(const ranked_mutex&) = delete;
    ranked_mutex& operator=(const ranked_mutex&) = delete;
    ranked_mutex(ranked_mutex&&) = delete;
    ranked_mutex& operator=(ranked_mutex&&) = delete;
    ~ranked_mutex() = default;

    void lock();
    void unlock();
    bool try_lock();

private:
    std::mutex mutex_;
    lock_rank rank_;
};

/// Whether a thread that holds a mutex of rank `held` may lock one of rank `wanted`.
constexpr bool may_lock(lock_rank held, lock_rank wanted) {
    return held < wanted;
}

} // namespace lycheegap::common
