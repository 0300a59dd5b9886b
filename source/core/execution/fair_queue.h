#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>

#include "core/catalog/catalog.h"
#include "core/common/clock.h"

namespace lycheegap::execution {

/// Length limits of a fair queue and the share of deferrable requests.
struct queue_limits {
    /// Most requests of one team that may wait.
    std::size_t team_length{0};
    /// Most requests that may wait, over all teams.
    std::size_t length{0};
    /// Every n-th grant goes to deferrable requests, if any are waiting.
    int deferrable_interval{8};
};

/// A request that waits for an endpoint.
struct waiting_request {
    common::time_point deadline;
};

/// Waiting requests of one team, either all urgent or all deferrable.
struct team_queue {
    /// By number, which rises in order of arrival.
    std::map<std::uint64_t, waiting_request> waiting;
    /// Virtual time of the team's next grant; each grant adds 1. The lowest is served first.
    double next_virtual_time{0};
};

/// By team name.
using team_queues = std::map<std::string, team_queue, std::less<>>;

/// Queue in front of one service's endpoints. Fair among teams: the team with the lowest virtual time goes
/// first, within a team the oldest request. Urgent requests (classes interactive and once) go before
/// deferrable ones, except for every `deferrable_interval`-th grant.
struct fair_queue {
    queue_limits limits;
    team_queues urgent;
    team_queues deferrable;
    /// Virtual time of the last grant of each kind.
    double urgent_virtual_time{0};
    double deferrable_virtual_time{0};
    /// Number of the next request that enters.
    std::uint64_t next_number{1};
    /// Waiting requests over all teams.
    std::size_t length{0};
    /// Urgent grants since the last deferrable one.
    int consecutive_urgent_grants{0};
};

/// Identifies a waiting request.
struct queue_place {
    catalog::work_class work{catalog::work_class::interactive};
    std::string team;
    std::uint64_t number{0};
};

/// Adds a request; empty if the queue or the team's part of it is full.
std::optional<queue_place> enter_queue(fair_queue& queue, catalog::work_class work, std::string_view team,
                                       common::time_point deadline);

/// The request to serve next, or empty. Skips requests past their deadline, which stay in the queue.
std::optional<queue_place> next_in_queue(const fair_queue& queue, common::time_point now);

/// Removes a request that was granted an endpoint and advances its team's virtual time.
void grant_place(fair_queue& queue, const queue_place& place);

/// Removes a request without a grant, such as one that timed out.
void leave_queue(fair_queue& queue, const queue_place& place);

} // namespace lycheegap::execution
