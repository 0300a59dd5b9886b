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

/// Unit of work. It runs once, on any worker, which holds no lock when it starts. It must not throw.
using work = std::function<void()>;

/// Fixed number of worker threads that run submitted work in order of due time and sleep while none is due.
class worker_pool {
public:
    explicit worker_pool(int worker_count);
    worker_pool(const worker_pool&) = delete;
    worker_pool& operator=(const worker_pool&) = delete;
    worker_pool(worker_pool&&) = delete;
    worker_pool& operator=(worker_pool&&) = delete;
    /// Calls `stop`.
    ~worker_pool();

    /// Queues `item` to run as soon as a worker is free. Ignored after `stop`.
    void submit(work item);
    /// Queues `item` to run at `due` or as soon after it as a worker is free. Ignored after `stop`.
    void submit_at(time_point due, work item);
    /// Discards work that has not started and waits for the workers to finish. Must not be called on a
    /// worker.
    void stop();

private:
    struct entry {
        time_point due;
        /// Position in the order of submission, for items with the same due time.
        std::uint64_t sequence;
        work item;
    };

    /// Orders the queue by due time, then by submission.
    struct runs_later {
        bool operator()(const entry& a, const entry& b) const;
    };

    void run();

    ranked_mutex mutex_{lock_rank::work_queue};
    std::condition_variable_any changed_;
    std::priority_queue<entry, std::vector<entry>, runs_later> entries_;
    std::uint64_t next_sequence_{0};
    bool stopping_{false};
    std::vector<std::thread> workers_;
};

} // namespace lycheegap::common
