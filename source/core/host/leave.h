#pragma once

namespace lycheegap::host {

struct host_state;

/// Graceful part of a planned stop: marks this host as leaving, serves until every look-up answer that names
/// it has expired and its requests have ended, and hands over its outcome memories. Bounded by the settings
/// `drain_time` and `drain_limit`; a `drain_time` of 0 skips all of it. The host still listens afterwards.
void drain_host(host_state& host);

} // namespace lycheegap::host
