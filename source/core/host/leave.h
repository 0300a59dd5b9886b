#pragma once

namespace lycheegap::host {

struct host_state;

/// Graceful part of a planned stop: marks this host as leaving, serves until every look-up answer that names
/// it has expired and its requests have ended, and hands its memory of outcomes over. Bounded by the
/// settings; the host still listens afterwards.
void drain_host(host_state& host);

} // namespace lycheegap::host
