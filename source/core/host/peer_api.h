#pragma once

#include "core/schema/codec.h"

namespace lycheegap::host {

struct host_state;

/// Handles one message of another host and returns the answer; an invalid or unexpected message gets a
/// refusal.
schema::bytes serve_peer(host_state& host, schema::byte_view message);

} // namespace lycheegap::host
