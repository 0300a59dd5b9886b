#pragma once

#include <optional>
#include <string>
#include <string_view>

#include "command.h"
#include "core/transport/http_client.h"

namespace lycheegap::ctl {

/// Operator listener of a host, and the shared secret sent to it.
struct operator_target {
    /// "ip:port".
    std::string address;
    std::string secret;
    /// The call fails when it has not finished by this time.
    common::time_point deadline;
};

/// Sends a command and waits for the answer. On an error returns empty and sets `common::last_reason()`.
std::optional<transport::http_response> call_operator(const operator_target& target, const command& request);

} // namespace lycheegap::ctl
