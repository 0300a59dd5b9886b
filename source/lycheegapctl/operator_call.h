#pragma once

#include <optional>
#include <string>
#include <string_view>

#include "command.h"
#include "core/transport/http_client.h"

namespace lycheegap::ctl {

/// The host that is asked and the secret that is shown to it.
struct operator_target {
    std::string address;
    std::string secret;
    /// The call ends at this moment at the latest.
    common::time_point deadline;
};

/// GET without a body, POST with one. The reason tells why there is no answer.
std::optional<transport::http_response> call_operator(const operator_target& target, const command& asked);

} // namespace lycheegap::ctl
