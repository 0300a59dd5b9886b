#pragma once

#include <atomic>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "allowance_table.h"
#include "control_table.h"
#include "core/catalog/catalog.h"
#include "core/common/metrics.h"
#include "core/common/worker_pool.h"
#include "core/membership/authority.h"
#include "core/settings/ini_settings.h"
#include "core/transport/http_client.h"
#include "core/transport/http_server.h"
#include "core/transport/peer_link.h"
#include "core/transport/store_client.h"
#include "endpoint_table.h"
#include "lookup_table.h"
#include "outcome_table.h"
#include "queue_table.h"

namespace lycheegap::host {

// Shared tables of one host. Each has one lock; common/lock_rank.h defines the order of the locks. No call to
// the network is made under any of them.

/// Shared table of the configuration in force.
struct catalog_table {
    common::ranked_mutex mutex{common::lock_rank::catalog_table};
    /// Never null; readers copy the pointer and release the lock.
    std::shared_ptr<const catalog::configuration> current{std::make_shared<catalog::configuration>()};
};

/// Shared table of the current generation, the numbered view of the fleet's members.
struct membership_table {
    common::ranked_mutex mutex{common::lock_rank::membership_table};
    /// Never null; readers copy the pointer and release the lock.
    std::shared_ptr<const membership::generation> current{std::make_shared<membership::generation>()};
    /// Last heartbeat answer of each other member, by name.
    std::map<std::string, membership::member_answer, std::less<>> answers;
};

/// Shared table of this host's authority, the lease under which it may serve requests by the control record
/// that it knows. Answers of the store and of other members extend it.
struct authority_table {
    common::ranked_mutex mutex{common::lock_rank::authority_table};
    membership::authority_lease held;
    /// Enough members hold the same withdrawn keys as this host, or the wait for them is over; false after a
    /// start.
    bool knows_withdrawn{false};
    /// This host stops: its authority ends now, whatever extends it.
    bool given_up{false};
};

/// Whole state of one lycheegapd process.
struct host_state {
    settings::daemon_settings settings;
    /// This host with its actual addresses and its incarnation, a random number that tells this process from
    /// earlier ones of the same host.
    membership::member self;
    /// This host is about to stop; it refuses look-ups, so that callers ask another host.
    std::atomic<bool> leaving{false};
    common::metrics_table metrics;
    control_table control;
    catalog_table catalog;
    membership_table membership;
    authority_table authority;
    allowance_table allowances;
    endpoint_table endpoints;
    lookup_table lookups;
    queue_table queues;
    outcome_table outcomes;
    transport::connection_pool endpoint_connections;
    transport::connection_pool store_connections;
    transport::store_client store;
    // `stop_host` stops the servers and the link before the pools. The pools are destroyed before the link,
    // whose responders their tasks hold, and before the tables.
    std::optional<transport::peer_link> peers;
    std::optional<common::worker_pool> workers;
    /// Run requests that other hosts forward, so that their long waits occupy no worker that handles peer
    /// messages.
    std::optional<common::worker_pool> forward_workers;
    std::optional<transport::http_server> lookup_server;
    std::optional<transport::http_server> request_server;
    std::optional<transport::http_server> operator_server;
};

/// Current configuration; never null.
std::shared_ptr<const catalog::configuration> current_catalog(host_state& host);

/// Current generation; never null.
std::shared_ptr<const membership::generation> current_generation(host_state& host);

/// Whether this host may serve requests under the control record that it knows.
bool has_authority(host_state& host, common::time_point now);

/// Starts listeners, worker pools and periodic tasks. Null when a listener cannot open; the last reason names
/// it.
std::unique_ptr<host_state> start_host(settings::daemon_settings settings);

/// Planned stop: drains this host, stops the callers' listeners, leaves the generation, hands over the teams'
/// accounts and stops the rest.
void stop_host(host_state& host);

} // namespace lycheegap::host
