#pragma once

#include <cstdint>
#include <memory>
#include <optional>
#include <span>
#include <string>
#include <string_view>

#include "core/catalog/catalog.h"
#include "core/execution/outcome_memory.h"
#include "core/execution/request_id.h"
#include "core/transport/http_message.h"

namespace lycheegap::host {

struct host_state;

inline constexpr std::string_view request_id_header = "x-request-id";
inline constexpr std::string_view deadline_header = "x-deadline-ms";
inline constexpr std::string_view outcome_header = "x-outcome";

/// State of one caller's request while it is served.
struct exchange {
    /// The caller's key has been removed.
    execution::request_head head;
    std::span<const std::byte> body;
    /// Digest of the caller's key; empty when the caller sent none.
    std::string key_digest;
    std::string request_id;
    /// `request_id` parsed; empty unless the caller made it from a look-up ticket.
    std::optional<execution::request_id> id;
    std::shared_ptr<const catalog::configuration> configuration;
    /// Null on open routes, which need no key.
    const catalog::team* team{nullptr};
    catalog::route_match match;
    common::time_point arrived_at;
    common::time_point deadline;
};

/// Response to the caller and how the request ended.
struct exchange_result {
    transport::http_response response;
    execution::outcome_state state{execution::outcome_state::answered};
};

/// Reasons as callers, logs and metrics name them.
enum class refusal_reason : std::uint8_t { key, route, id, memory, queue, authority, rate, home, endpoint };

/// Makes a refusal with the reason's HTTP status, counts and logs it. Its outcome is "unknown" when the
/// request may have run, else "not_run".
exchange_result refuse(host_state& host, const exchange& it, refusal_reason reason, bool may_have_run,
                       std::string_view text);

/// Like `refuse`, with another HTTP status and, when not empty, a ticket from which the caller makes a new
/// id.
exchange_result refuse_with(host_state& host, const exchange& it, refusal_reason reason, bool may_have_run,
                            std::string_view text, int status, std::string_view ticket);

} // namespace lycheegap::host
