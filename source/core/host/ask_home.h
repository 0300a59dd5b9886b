#pragma once

#include <string_view>

#include "core/schema/generated/peer_generated.h"

namespace lycheegap::host {

struct host_state;

/// Sends the team's home a question when one is due: requests wait, the stock is low, or loans end soon. Does
/// not wait for the answer.
void ask_home_when_due(host_state& host, std::string_view team);

/// Answers another host's question, as home.
schema::token_answer_t answer_tokens(host_state& host, const schema::token_request_t& request);

} // namespace lycheegap::host
