#pragma once

#include <cstdint>

namespace lycheegap::common {

/// Lock order of the shared tables: a thread may lock a mutex only if its rank is higher than the ranks of
/// all mutexes that the thread holds. None of them is held during network I/O.
enum class lock_rank : std::uint8_t {
    /// host: control record, the versions that other hosts confirmed, and withdrawn keys.
    control_table = 5,
    /// host: catalog in force.
    catalog_table = 10,
    /// gateway: configuration in force and the round-robin weights of its routes.
    routing_table = 12,
    /// gateway: mirror of the store, and requests of other hosts that wait for changes to it.
    mirror_table = 15,
    /// host: membership in force and the last answer of each member.
    membership_table = 20,
    /// gateway: view of the hosts of the fleet.
    fleet_table = 22,
    /// host: lease under which this host may act.
    authority_table = 30,
    /// host: precomputed look-up answers, and the sites of client address blocks.
    lookup_table = 35,
    /// host: token buckets and token loans of teams.
    allowance_table = 40,
    /// gateway: token buckets of teams and the tokens that this host lends as their home.
    rate_table = 42,
    /// host: queues of requests that wait for an endpoint.
    queue_table = 50,
    /// gateway: retry budgets of services.
    retry_table = 55,
    /// host: request ids and outcomes of non-idempotent requests.
    outcome_table = 60,
    /// gateway: load reports kept for the other hosts.
    load_table = 65,
    /// gateway: division of each service's requests over the regions.
    region_table = 67,
    /// host, gateway: state of the endpoints.
    endpoint_table = 70,
    /// host: random number generator.
    random_state = 80,
    /// transport, gateway: connection pools of the endpoints and the store.
    connection_pool = 90,
    /// gateway: open connections from callers.
    caller_table = 95,
    /// gateway: plan of the graceful stop.
    stop_table = 97,
    /// transport: outgoing calls that wait for the peer thread.
    peer_outbox = 100,
    /// common: counters and summaries.
    metrics_table = 110,
    /// common: queue of the worker pool.
    work_queue = 120,
    /// Innermost lock: no other lock is taken while it is held. Example: the result of one call.
    leaf = 200,
};

} // namespace lycheegap::common
