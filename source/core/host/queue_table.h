#pragma once

#include <condition_variable>
#include <map>
#include <random>
#include <string>

#include "core/common/ranked_mutex.h"
#include "core/execution/fair_queue.h"
#include "core/execution/retry.h"

namespace lycheegap::host {

/// Shared table of requests that wait for an endpoint.
struct queue_table {
    common::ranked_mutex mutex{common::lock_rank::queue_table};
    /// A slot became free, or a place was given up.
    std::condition_variable_any changed;
    std::map<std::string, execution::fair_queue, std::less<>> by_service;
    /// Requests that wait or run, by team.
    std::map<std::string, int, std::less<>> busy_by_team;
    int busy{0};
    execution::retry_budget budget;
    std::mt19937_64 random;
};

} // namespace lycheegap::host
