#pragma once

namespace lycheegap::host {

struct host_state;

/// Puts the periodic work on the pool: reading the store, joining, heartbeats.
void start_upkeep(host_state& host);

/// Takes this incarnation out of the generation. Gives up when the store gives no answer.
void leave_generation(host_state& host);

} // namespace lycheegap::host
