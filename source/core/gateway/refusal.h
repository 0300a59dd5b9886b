#pragma once

#include <optional>
#include <string_view>

#include "net.h"

namespace lycheegap::gateway {

/// An answer of this host's own. Status 429 and 503 promise that the request has not run and never will.
struct refusal {
    unsigned int status{503};
    /// One word for logs and the body.
    std::string_view reason;
    /// When to come back; none leaves it to the caller.
    std::optional<common::milliseconds> retry_after{};
};

response_message make_refusal(const refusal& why, const request_message& to);

} // namespace lycheegap::gateway
