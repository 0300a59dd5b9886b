#pragma once

namespace lycheegap::host {

struct host_state;

/// Starts the periodic tasks on the worker pool: store and membership, heartbeats, token accounts, and the
/// removal of expired outcomes.
void start_periodic_tasks(host_state& host);

} // namespace lycheegap::host
