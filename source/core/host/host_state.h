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

/// Shared tables of one entry host. Each has one lock; the ranks and their order stand in
/// common/lock_rank.h. Nobody calls the network under one of these locks.

struct catalog_table {
    common::ranked_mutex mutex{common::lock_rank::catalog_table};
    /// Never null; readers keep the pointer and not the lock.
    std::shared_ptr<const catalog::configuration> current{std::make_shared<catalog::configuration>()};
};

struct membership_table {
    common::ranked_mutex mutex{common::lock_rank::membership_table};
    std::shared_ptr<const membership::generation> current{std::make_shared<membership::generation>()};
    /// Last answer of each other member.
    std::map<std::string, membership::member_answer, std::less<>> answers;
};

struct authority_table {
    common::ranked_mutex mutex{common::lock_rank::authority_table};
    membership::authority held;
    /// Enough members told which keys are withdrawn; false after a start.
    bool knows_withdrawn{false};
    /// This host stops; nothing extends its authority any more.
    bool given_up{false};
};

/// Everything one process of lycheegapd holds.
struct host_state {
    settings::daemon_settings settings;
    /// This host with its actual addresses and incarnation.
    membership::member self;
    /// This host is about to stop; its look-ups send callers elsewhere.
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
    // The pool ends after the link and the servers that hand it work, and before the tables.
    std::optional<transport::peer_link> peers;
    std::optional<common::worker_pool> workers;
    /// Run what other hosts pass on, so that a long wait holds no worker of the peers' messages.
    std::optional<common::worker_pool> forward_workers;
    std::optional<transport::http_server> lookup_server;
    std::optional<transport::http_server> request_server;
    std::optional<transport::http_server> operator_server;
};

/// Current configuration; never null.
std::shared_ptr<const catalog::configuration> current_catalog(host_state& host);

/// Current generation; never null.
std::shared_ptr<const membership::generation> current_generation(host_state& host);

/// Whether this host may act on what it knows.
bool has_authority(host_state& host, common::time_point now);

/// Starts listeners, pool and upkeep. The reason names the listener that cannot open.
std::unique_ptr<host_state> start_host(settings::daemon_settings settings);

/// Marks this host as leaving, ends the callers' listeners, leaves the generation and stops everything.
void stop_host(host_state& host);

} // namespace lycheegap::host
