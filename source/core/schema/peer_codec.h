#pragma once

#include <utility>

#include "codec.h"
#include "generated/peer_generated.h"

namespace lycheegap::schema {

/// Bytes of a message between hosts with this body, one of the tables of the union peer_body.
template <typename Body>
bytes encode_peer(Body body) {
    peer_message_t message;
    message.body.Set(std::move(body));
    return encode<peer_message>(message);
}

} // namespace lycheegap::schema
