#pragma once

#include <condition_variable>
#include <map>
#include <random>
#include <string>

#include "core/common/ranked_mutex.h"
#include "core/execution/fair_queue.h"
#include "core/execution/retry.h"

namespace lycheegap::host {

/// Shared table of requests that wait for an endpoint or run.
struct queue_table {
    common::ranked_mutex mutex{common::lock_rank::queue_table};
    /// Notified when a slot is released, a request leaves a queue, or a request ends.
    std::condition_variable_any changed;
    /// Requests that wait, by service.
    std::map<std::string, execution::fair_queue, std::less<>> by_service;
    /// Requests that wait or run, by team.
    std::map<std::string, int, std::less<>> active_by_team;
    /// Requests that wait or run, of all teams.
    int active{0};
    /// Retries that this host may make.
    execution::retry_budget budget;
    std::mt19937_64 random;
};

} // namespace lycheegap::host
