#pragma once

#include <condition_variable>
#include <cstdint>
#include <map>
#include <optional>
#include <string>

#include "core/common/ranked_mutex.h"
#include "core/execution/outcome_memory.h"

namespace lycheegap::host {

struct host_state;

/// Who took over the memory of an incarnation that left.
struct successor_entry {
    std::uint64_t incarnation{0};
    common::time_point forget_at;
};

/// Shared table of ids and outcomes of non-idempotent requests.
struct outcome_table {
    common::ranked_mutex mutex{common::lock_rank::outcome_table};
    /// A request ended.
    std::condition_variable_any changed;
    /// This host's own and those it took over, by incarnation.
    std::map<std::uint64_t, execution::outcome_memory> memories;
    std::map<std::uint64_t, successor_entry> successors;
    /// Requests from other hosts that wait for a worker or run.
    int forwarded{0};
};

/// Limits of the memory by the settings.
execution::memory_limits memory_limits_of(const host_state& host);

/// Opens this host's own memory; called once, before the listeners.
void open_outcomes(host_state& host);

/// Text of a fresh ticket of this host; empty when it takes no new ids.
std::string new_ticket(host_state& host);

/// Whether this host remembers the ids of the incarnation.
bool holds_outcomes(host_state& host, std::uint64_t incarnation);

/// Says how a request ended, as `execution::settle_request` does. Empty when this host cannot tell now.
std::optional<execution::outcome_entry> settle_outcome(host_state& host, const execution::request_id& id);

/// Forgets what has expired.
void sweep_outcomes(host_state& host);

} // namespace lycheegap::host
