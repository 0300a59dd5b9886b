#pragma once

#include <mutex>

#include "lock_rank.h"

namespace lycheegap::common {

/// A mutex with a rank. Debug builds abort the process when a thread takes one out of order. Works with
/// std::lock_guard, std::unique_lock and std::condition_variable_any.
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

/// Whether a thread that holds a lock of rank `held` may take one of rank `wanted`.
constexpr bool may_take(lock_rank held, lock_rank wanted) {
    return held < wanted;
}

} // namespace lycheegap::common
