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

/// One request while it is served.
struct exchange {
    /// Without the caller's key.
    execution::request_head head;
    std::span<const std::byte> body;
    /// Empty when the caller showed no key.
    std::string key_digest;
    std::string request_id;
    /// Set when `request_id` was made of a ticket.
    std::optional<execution::request_id> id;
    std::shared_ptr<const catalog::configuration> configuration;
    /// Null on open routes.
    const catalog::team* team{nullptr};
    catalog::route_match match;
    common::time_point arrived_at;
    common::time_point deadline;
};

/// How an exchange ended.
struct served {
    transport::http_response response;
    execution::outcome_state state{execution::outcome_state::answered};
};

enum class refusal_reason : std::uint8_t { key, route, id, memory, queue, authority, rate, home, endpoint };

/// A refusal that says whether the request may have run; counted and logged.
served refuse(host_state& host, const exchange& it, refusal_reason reason, bool may_have_run,
              std::string_view text);

/// The same with another HTTP status, and with a ticket for the caller when `ticket` is not empty.
served refuse_with(host_state& host, const exchange& it, refusal_reason reason, bool may_have_run,
                   std::string_view text, int status, std::string_view ticket);

} // namespace lycheegap::host
