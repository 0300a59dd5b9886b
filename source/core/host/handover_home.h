#pragma once

#include <string_view>

#include "core/allowance/home_account.h"
#include "core/schema/generated/peer_generated.h"
#include "team_homes.h"

namespace lycheegap::host {

/// Passes a team's state to its home in the view's generation. Tried once; what is lost fills up again.
void send_handover(host_state& host, const allowance_view& view, std::string_view team,
                   const allowance::account_handover& state, common::time_point now);

/// Keeps the state that another home passed on until this host may act as home.
schema::home_handover_answer_t take_handover(host_state& host, const schema::home_handover_t& message);

/// A planned stop, once the generation no longer holds this host: passes all teams on and waits for the
/// answers up to the deadline.
void hand_over_all(host_state& host, common::time_point deadline);

} // namespace lycheegap::host
