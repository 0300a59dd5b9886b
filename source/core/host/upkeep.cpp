#include "upkeep.h"

#include "heartbeats.h"
#include "host_state.h"
#include "outcome_table.h"
#include "periodic.h"
#include "store_refresh.h"
#include "team_homes.h"

namespace lycheegap::host {

namespace {

constexpr common::milliseconds allowance_interval(100);
constexpr common::milliseconds outcome_sweep_interval(1000);

} // namespace

void start_periodic_tasks(host_state& host) {
    start_store_refresh(host);
    start_periodic(host, common::milliseconds(host.settings.peers->heartbeat_interval), &send_heartbeats);
    start_periodic(host, allowance_interval, &refresh_allowances);
    start_periodic(host, outcome_sweep_interval, &remove_expired_outcomes);
}

} // namespace lycheegap::host
