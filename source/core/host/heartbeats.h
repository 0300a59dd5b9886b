#pragma once

#include "core/schema/codec.h"
#include "core/schema/generated/peer_membership_generated.h"

namespace lycheegap::host {

struct host_state;

/// This host's heartbeat: the versions it holds, the age of the store's last report that its version is the
/// newest, and the members that do not answer it.
schema::heartbeat_t make_heartbeat(host_state& host);

/// Sends a heartbeat to every other member. Their answers extend this host's authority.
void send_heartbeats(host_state& host);

/// Handles another host's heartbeat and answers with this host's. Starts to fetch the control record from a
/// member that holds a newer version.
schema::bytes handle_heartbeat(host_state& host, const schema::heartbeat_t& beat);

/// Answers a relay question with the control record.
schema::bytes handle_relay_question(host_state& host);

} // namespace lycheegap::host
