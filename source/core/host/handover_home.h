#pragma once

#include <string_view>

#include "core/allowance/home_account.h"
#include "core/schema/generated/peer_generated.h"
#include "team_homes.h"

namespace lycheegap::host {

/// Sends the state of a team's account to the team's home in the view's generation. Sent once: when it is
/// lost, the new home starts with an empty bucket that refills.
void send_handover(host_state& host, const allowance_view& view, std::string_view team,
                   const allowance::account_handover& state, common::time_point now);

/// Stores the account state that the team's previous home sent, until this host may act as home.
schema::home_handover_answer_t handle_handover(host_state& host, const schema::home_handover_t& message);

/// Step of a planned stop, after this host has left the generation: hands over the accounts of all teams and
/// waits for the answers until `deadline`.
void hand_over_homes(host_state& host, common::time_point deadline);

} // namespace lycheegap::host
