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
    /// Notified when a request ends.
    std::condition_variable_any changed;
    /// By incarnation: the ids made from its tickets, with their outcomes. This host's own memory and those
    /// that it took over.
    std::map<std::uint64_t, execution::outcome_memory> memories;
    /// By the incarnation that left.
    std::map<std::uint64_t, successor_entry> successors;
    /// Requests from other hosts that wait for a worker or run.
    int forwarded{0};
};

/// Limits of an outcome memory, from the settings.
execution::memory_limits memory_limits_of(const host_state& host);

/// Opens this host's own outcome memory; called once, before the listeners start.
void open_outcomes(host_state& host);

/// Text of a new ticket of this host; empty when it takes no new ids.
std::string new_ticket(host_state& host);

/// Whether this host has the outcome memory of the incarnation's ids.
bool holds_outcomes(host_state& host, std::uint64_t incarnation);

/// Tells how the request with this id ended; an id that has not arrived is recorded as not run. Empty when
/// this host does not have the id's outcome memory or the memory is full.
std::optional<execution::outcome_entry> resolve_outcome(host_state& host, const execution::request_id& id);

/// Periodic task: removes expired ids, memories taken over whose ids have all expired, and expired
/// successors.
void remove_expired_outcomes(host_state& host);

} // namespace lycheegap::host
