#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>

#include "core/catalog/catalog.h"
#include "core/common/clock.h"

namespace lycheegap::execution {

struct queue_limits {
    /// Requests of one team that may wait.
    std::size_t team_length{0};
    /// Requests that may wait in all.
    std::size_t length{0};
    /// Every n-th grant goes to deferrable work, when some waits.
    int deferrable_share{8};
};

/// A request that waits for an endpoint, by the order of its arrival.
struct waiting_request {
    common::time_point deadline;
};

/// Waiting requests of one team in one class.
struct team_line {
    std::map<std::uint64_t, waiting_request> waiting;
    /// Virtual time of the team's next grant; a team that waits little has a small one.
    double next_turn{0};
};

using class_lines = std::map<std::string, team_line, std::less<>>;

/// Queue in front of one service's endpoints: the team with the fewest grants goes first, and within a team
/// the request that came first. Interactive and once go before deferrable work, but for its share.
struct fair_queue {
    queue_limits limits;
    class_lines urgent;
    class_lines deferrable;
    /// Virtual time of the last grant, for each of the two.
    double urgent_turn{0};
    double deferrable_turn{0};
    std::uint64_t next_number{1};
    std::size_t length{0};
    int urgent_grants_in_row{0};
};

/// Names a waiting request.
struct queue_place {
    catalog::work_class work{catalog::work_class::interactive};
    std::string team;
    std::uint64_t number{0};
};

/// Takes a place; empty when the team's or the whole queue is full.
std::optional<queue_place> enter_queue(fair_queue& queue, catalog::work_class work, std::string_view team,
                                       common::time_point deadline);

/// Place whose turn it is, or empty. Requests past their deadline are passed over.
std::optional<queue_place> next_in_queue(const fair_queue& queue, common::time_point now);

/// Removes a place that was granted an endpoint, and counts the grant.
void grant_place(fair_queue& queue, const queue_place& place);

/// Removes a place that waits no longer.
void leave_queue(fair_queue& queue, const queue_place& place);

} // namespace lycheegap::execution
