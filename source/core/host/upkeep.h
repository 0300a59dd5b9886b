#pragma once

namespace lycheegap::host {

struct host_state;

/// Puts the periodic work on the pool: watching the store, joining, heartbeats.
void start_upkeep(host_state& host);

} // namespace lycheegap::host
