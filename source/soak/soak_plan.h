#pragma once

#include <cstddef>
#include <cstdint>
#include <string_view>
#include <vector>

#include "core/common/clock.h"

namespace lycheegap::soak {

/// Size of a soak run.
struct soak_size {
    std::size_t hosts{6};
    std::size_t endpoints{5};
    std::size_t callers{12};
    /// Routes of the configuration that nobody calls; each version changes one of them.
    std::size_t unused_routes{1400};
    /// Time with faults; a phase without faults follows.
    common::milliseconds fault_phase_length{20'000};
};

/// Kinds of injected faults. Some last for the length of the planned fault, some happen once at its begin.
enum class fault_kind : std::uint8_t {
    kill_host,
    stop_host,
    pause_host,
    kill_endpoint,
    pause_endpoint,
    drain_endpoint,
    /// The endpoint runs its next requests and withholds the responses.
    silent_answers,
    /// No bytes pass between hosts and the endpoint; they pass again at the end.
    cut_endpoint,
    /// Open connections to the endpoint stop passing bytes for good; new ones work.
    silence_endpoint,
    /// Adds latency between hosts and the endpoint.
    delay_endpoint,
    /// No bytes pass between one host and the store.
    cut_store,
    /// The store answers 503; leases are suspended meanwhile.
    store_outage,
    /// The store answers 503; leases expire meanwhile.
    store_outage_leases_run,
    /// Calls of the store take effect, but the responses come too late.
    store_loses_answers,
    /// The store delays every call.
    store_slow,
    /// The store drops its change history, so that watches have to read anew.
    store_drops_history,
    /// Writes a new version of the configuration.
    change_configuration,
    /// Writes versions of the configuration one after the other. Planned as faults of the kind above.
    change_configuration_often,
    /// Number of the kinds above, which follow each other at random.
    count,
    /// The endpoint names a limit in its answers.
    limit_endpoint,
    /// The store keeps a copy, and comes back from it at the end; the operator then writes again.
    restore_store,
    /// Another writer puts entries with odd names into the list of endpoints, where they stay.
    write_odd_entries,
};

/// A fault with its target and its time.
struct planned_fault {
    fault_kind kind{fault_kind::kill_host};
    /// Index of the host or endpoint; not used by `store_*` and `change_configuration`.
    std::size_t target{0};
    /// Begin, from the start of the load.
    common::milliseconds at{0};
    common::milliseconds length{0};
    /// Requests per second that the endpoint takes from all hosts together; for `limit_endpoint`.
    double limit_per_s{0};
};

/// Plans the faults of one seed, ordered by begin. They may overlap. The last host and the last endpoint are
/// never a target.
std::vector<planned_fault> plan_faults(std::uint64_t seed, const soak_size& size);

/// Name of the enumerator, as printed in reports.
std::string_view name_of(fault_kind kind);

} // namespace lycheegap::soak
