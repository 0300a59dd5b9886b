#pragma once

#include "core/membership/generation.h"
#include "core/schema/codec.h"
#include "core/schema/generated/peer_generated.h"
#include "core/transport/peer_link.h"
#include "exchange.h"

namespace lycheegap::host {

/// Passes a non-idempotent request to the host that remembers its id and waits for the answer. Where that
/// host is gone or silent, the outcome is unknown and nothing is run.
served forward_to_holder(host_state& host, const exchange& it);

/// Member that remembers the ids of an incarnation: that incarnation, or who took over its memory. Empty
/// when there is none that this host can find. May ask other hosts.
std::optional<membership::member> find_holder(host_state& host, std::uint64_t incarnation,
                                              common::time_point deadline);

/// Takes a message that is a forwarded request: it runs on the workers for forwarded requests, and its
/// answer goes to `respond`. False for any other message.
bool take_forwarded(host_state& host, schema::byte_view message, const transport::peer_responder& respond);

} // namespace lycheegap::host
