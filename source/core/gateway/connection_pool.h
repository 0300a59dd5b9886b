#pragma once

#include <string_view>

#include "core/traffic/endpoint_set.h"
#include "gateway_state.h"

namespace lycheegap::gateway {

/// A kept connection to the endpoint that the request may use, or a new one that is not connected yet.
/// `idempotent`: the request may run more than once.
connection_ptr acquire_connection(gateway_state& state, const traffic::endpoint_entry& entry,
                                  bool idempotent);

/// Keeps a connection after an exchange if it is reusable.
void release_connection(gateway_state& state, const traffic::endpoint_entry& entry, const connection_ptr& it);

/// What an exchange over a kept connection says about how long endpoints keep idle ones.
struct kept_exchange {
    /// How long the connection had been idle before.
    common::milliseconds rest{0};
    /// Time from the sending to the end of the exchange.
    common::milliseconds length{0};
    exchange_outcome outcome{exchange_outcome::answered};
    exchange_end ended_by{exchange_end::endpoint};
};

/// Learns from an exchange over a kept connection.
void note_kept_exchange(gateway_state& state, const traffic::endpoint_entry& entry, const kept_exchange& it);

/// Closes pooled connections whose idle timeout has passed, including those of removed endpoints.
void prune_endpoint_connections(gateway_state& state);

/// Closes a connection on its strand.
void close_on_strand(const connection_ptr& it);

} // namespace lycheegap::gateway
