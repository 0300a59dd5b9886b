#pragma once

#include <cstdint>

namespace lycheegap::common {

/// Order in which a thread may take the locks of shared tables: only a lock of a higher rank than all it
/// holds. No call to the network is made under any of them.
enum class lock_rank : std::uint8_t {
    /// host: the control record, confirmations and withdrawn keys.
    control_table = 5,
    /// host: catalog, generation and authority.
    catalog_table = 10,
    /// gateway: the configuration in force and the turns of split routes.
    routing_table = 12,
    /// gateway: what the store holds, and hosts that wait for changes of it.
    mirror_table = 15,
    membership_table = 20,
    /// gateway: hosts of the fleet.
    fleet_table = 22,
    authority_table = 30,
    /// host: prepared answers to look-ups and client blocks.
    lookup_table = 35,
    /// host: buckets and loans of teams.
    allowance_table = 40,
    /// gateway: requests that teams had passed on.
    rate_table = 42,
    /// host: queues of waiting requests.
    queue_table = 50,
    /// gateway: second sendings to services.
    retry_table = 55,
    /// host: ids and outcomes of non-idempotent requests.
    outcome_table = 60,
    /// host, gateway: endpoints' state.
    endpoint_table = 70,
    /// host: this host's random numbers.
    random_state = 80,
    /// transport: connections to endpoints and store.
    connection_pool = 90,
    /// gateway: open connections of callers.
    caller_table = 95,
    /// transport: calls waiting for the peer thread.
    peer_outbox = 100,
    /// common: counted and measured quantities.
    metrics_table = 110,
    /// common: work of the worker pool.
    work_queue = 120,
    /// A lock that is taken last and alone, such as one call's result.
    leaf = 200,
};

} // namespace lycheegap::common
