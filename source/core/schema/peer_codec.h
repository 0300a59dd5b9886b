#pragma once

#include <utility>

#include "codec.h"
#include "generated/peer_generated.h"

namespace lycheegap::schema {

/// Encodes a message between hosts. `Body` is the object API struct of one of the tables in the union
/// peer_body.
template <typename Body>
bytes encode_peer(Body body) {
    peer_message_t message;
    message.body.Set(std::move(body));
    return encode<peer_message>(message);
}

} // namespace lycheegap::schema
