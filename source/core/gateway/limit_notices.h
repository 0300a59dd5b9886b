#pragma once

#include "core/schema/codec.h"
#include "core/schema/generated/peer_limits_generated.h"
#include "gateway_state.h"

namespace lycheegap::gateway {

/// Applies what the head of an endpoint's response says about its limit on the requests of all hosts, and
/// notifies other hosts if that is news.
void note_limit_in_head(gateway_state& state, const traffic::endpoint_ptr& endpoint,
                        const http::response_header<>& head);

/// Passes the limits that this host knows on to one of its neighbours at each interval, until the gateway
/// stops. Sends nothing while there are none.
awaitable<void> share_limits(gateway_state& state);

/// Applies another host's limits, passes on what is news, and returns the encoded limit_notice_answer.
schema::bytes handle_limit_notice(gateway_state& state, const schema::limit_notice_t& received);

} // namespace lycheegap::gateway
