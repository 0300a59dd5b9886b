#pragma once

#include "core/schema/codec.h"

namespace lycheegap::host {

struct host_state;

/// Answers one message of another host; a message that is not understood gets a refusal.
schema::bytes serve_peer(host_state& host, schema::byte_view message);

} // namespace lycheegap::host
