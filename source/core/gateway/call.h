#pragma once

#include <memory>
#include <optional>
#include <string>

#include "endpoint_exchange.h"
#include "net.h"

namespace lycheegap::gateway {

/// One request of a caller, from its arrival to its response. Accessed only on the strand of the caller's
/// connection.
struct call {
    request_message request;
    /// When the head of the request was complete.
    common::time_point arrived_at;
    /// The caller closed its connection; the response is not needed any more.
    bool abandoned{false};
    /// Connection of the running exchange, for `abandon_call`; null when there is none.
    connection_ptr active_connection;
    /// Final response; empty while the request is served.
    std::optional<response_message> response;
};

using call_ptr = std::shared_ptr<call>;

} // namespace lycheegap::gateway
