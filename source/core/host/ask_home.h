#pragma once

#include <string_view>

#include "core/schema/generated/peer_generated.h"

namespace lycheegap::host {

struct host_state;

/// Sends a token request to the team's home, the host that keeps its token bucket, when one is due: requests
/// wait, few tokens are left, or loans end soon. Does not wait for the answer.
void request_tokens_if_due(host_state& host, std::string_view team);

/// Handles another host's token request: lends tokens and renews loans when this host acts as the team's
/// home, else answers `wrong_home`.
schema::token_answer_t handle_token_request(host_state& host, const schema::token_request_t& request);

} // namespace lycheegap::host
