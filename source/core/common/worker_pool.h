#pragma once

#include <condition_variable>
#include <functional>
#include <queue>
#include <span>
#include <thread>
#include <vector>

#include "clock.h"
#include "ranked_mutex.h"

namespace lycheegap::common {

/// One piece of work. It runs once, on any worker, and holds no lock when it starts.
using work = std::function<void()>;

/// A fixed number of workers that take ready work in order of its due time and sleep in between.
class worker_pool {
public:
    explicit worker_pool(int worker_count);
    worker_pool(const worker_pool&) = delete;
    worker_pool& operator=(const worker_pool&) = delete;
    worker_pool(worker_pool&&) = delete;
    worker_pool& operator=(worker_pool&&) = delete;
    /// Stops as `stop` does.
    ~worker_pool();

    /// Runs `item` as soon as a worker is free.
    void submit(work item);
    /// Runs `item` once `due` has come.
    void submit_at(time_point due, work item);
    /// Drops work that has not begun and waits for the workers to end. Not to be called by a worker.
    void stop();

private:
    struct entry {
        time_point due;
        std::uint64_t order;
        work item;
    };

    struct later {
        bool operator()(const entry& a, const entry& b) const;
    };

    void run();

    ranked_mutex mutex_{lock_rank::work_queue};
    std::condition_variable_any changed_;
    std::priority_queue<entry, std::vector<entry>, later> entries_;
    std::uint64_t next_order_{0};
    bool stopping_{false};
    std::vector<std::thread> workers_;
};

} // namespace lycheegap::common
