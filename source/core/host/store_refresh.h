#pragma once

namespace lycheegap::host {

struct host_state;

/// Puts the store's watch on the pool: a relay of its failure domain watches all the time, other hosts ask
/// only when their authority runs low.
void start_store_refresh(host_state& host);

} // namespace lycheegap::host
