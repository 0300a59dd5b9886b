#pragma once

#include "core/schema/generated/peer_generated.h"

namespace lycheegap::host {

struct host_state;

/// Closes all outcome memories, sends them to another member and announces that member to the others. False
/// when no member took them; then their outcomes are unknown once this host is gone.
bool hand_over_outcomes(host_state& host);

/// Handles a part of another host's outcome memory, or the announcement of the successor that took it over.
schema::outcome_handover_answer_t handle_handover(host_state& host,
                                                  const schema::outcome_handover_t& message);

} // namespace lycheegap::host
