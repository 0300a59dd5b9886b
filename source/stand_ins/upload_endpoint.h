#pragma once

#include <string>

#include "core/gateway/net.h"

namespace lycheegap::stand_ins {

/// Endpoint whose responses have no length and end with their connection. It reads half of the requests and
/// responds in full. To the others it responds before it has read them, sends part of the response and resets
/// the connection. It logs each run with the request's id.
struct upload_endpoint {
    std::string id;
    /// "ip:port" of its listener.
    std::string address;
};

/// Opens the listener and serves on the given context; false when the listener cannot be opened.
bool start_upload_endpoint(gateway::net::io_context& io, const upload_endpoint& endpoint);

} // namespace lycheegap::stand_ins
