#pragma once

#include "core/schema/codec.h"
#include "core/schema/generated/peer_membership_generated.h"

namespace lycheegap::host {

struct host_state;

/// What this host knows.
schema::heartbeat_t make_beat(host_state& host);

/// Asks every other member what it knows. Its answers extend the authority.
void send_heartbeats(host_state& host);

/// Takes another host's heartbeat and answers with this host's.
schema::bytes answer_heartbeat(host_state& host, const schema::heartbeat_t& beat);

/// Answers with the control record.
schema::bytes answer_relay_question(host_state& host);

} // namespace lycheegap::host
