#pragma once

#include "core/schema/codec.h"
#include "core/schema/generated/peer_loads_generated.h"
#include "gateway_state.h"

namespace lycheegap::gateway {

/// Keeps an endpoint's load report for the other hosts.
void keep_load_report(gateway_state& state, const traffic::endpoint_entry& endpoint,
                      const traffic::load_report& report, common::time_point now);

/// Exchanges load reports with this host's partners at each interval, in fleets that are large enough, until
/// the gateway stops.
awaitable<void> exchange_loads(gateway_state& state);

/// Applies another host's reports and returns the encoded load_exchange_answer.
schema::bytes handle_load_exchange(gateway_state& state, const schema::load_exchange_t& received);

} // namespace lycheegap::gateway
