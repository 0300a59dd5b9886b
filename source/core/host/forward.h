#pragma once

#include "core/membership/generation.h"
#include "core/schema/codec.h"
#include "core/schema/generated/peer_generated.h"
#include "core/transport/peer_link.h"
#include "exchange.h"

namespace lycheegap::host {

/// Forwards a non-idempotent request to its holder, the host whose outcome memory covers the request's id,
/// and waits for the answer. When the holder is gone or gives no answer, refuses the request with an unknown
/// outcome; it is never run here.
exchange_result forward_to_holder(host_state& host, const exchange& it);

/// Member whose outcome memory covers the ids of an incarnation: that incarnation itself, or the successor
/// that took over its memory. Empty when none is found. May ask other hosts, until `deadline`.
std::optional<membership::member> find_holder(host_state& host, std::uint64_t incarnation,
                                              common::time_point deadline);

/// Handles a message that is a forwarded request: queues it for the workers of forwarded requests, which pass
/// the answer to `respond`. Refuses it when their queue is full. Returns false for any other message.
bool handle_forwarded(host_state& host, schema::byte_view message, const transport::peer_responder& respond);

} // namespace lycheegap::host
