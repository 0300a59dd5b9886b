#pragma once

#include "core/schema/generated/peer_generated.h"

namespace lycheegap::host {

struct host_state;

/// Passes all memories of outcomes on to another member and tells every member who has them now. False when
/// no member took them; then their outcomes are unknown once this host is gone.
bool hand_over_outcomes(host_state& host);

/// Takes a part of another host's memory, or the news of who took it.
schema::outcome_handover_answer_t take_handover(host_state& host, const schema::outcome_handover_t& message);

} // namespace lycheegap::host
