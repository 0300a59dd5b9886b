#include "worker_pool.h"

#include <utility>

namespace lycheegap::common {

worker_pool::worker_pool(int worker_count) {
    workers_.reserve(static_cast<std::size_t>(worker_count));
    for (int n = 0; n < worker_count; ++n) {
        workers_.emplace_back([this] { run(); });
    }
}

worker_pool::~worker_pool() {
    stop();
}

bool worker_pool::runs_later::operator()(const entry& a, const entry& b) const {
    return a.due != b.due ? a.due > b.due : a.sequence > b.sequence;
}

void worker_pool::submit(work item) {
    submit_at(monotonic::now(), std::move(item));
}

void worker_pool::submit_at(time_point due, work item) {
    {
        const std::lock_guard guard(mutex_);
        if (stopping_) {
            return;
        }
        entries_.push(entry{due, next_sequence_++, std::move(item)});
    }
    // Wakes every worker: each may wait for a different due time and has to check the new head of the queue.
    changed_.notify_all();
}

void worker_pool::stop() {
    {
        const std::lock_guard guard(mutex_);
        stopping_ = true;
    }
    changed_.notify_all();
    for (auto& worker : workers_) {
        if (worker.joinable()) {
            worker.join();
        }
    }
}

void worker_pool::run() {
    std::unique_lock guard(mutex_);
    while (!stopping_) {
        if (entries_.empty()) {
            changed_.wait(guard);
            continue;
        }
        const auto due = entries_.top().due;
        if (due > monotonic::now()) {
            changed_.wait_until(guard, due);
            continue;
        }
        const auto item = entries_.top().item;
        entries_.pop();
        guard.unlock();
        item();
        guard.lock();
    }
}

} // namespace lycheegap::common
