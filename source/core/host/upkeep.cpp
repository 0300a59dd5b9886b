#include "upkeep.h"

#include "heartbeats.h"
#include "host_state.h"
#include "periodic.h"
#include "store_refresh.h"

namespace lycheegap::host {

void start_upkeep(host_state& host) {
    start_store_refresh(host);
    start_periodic(host, common::milliseconds(host.settings.peers->heartbeat_interval), &send_heartbeats);
}

} // namespace lycheegap::host
