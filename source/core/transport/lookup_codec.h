#pragma once

#include <cstdint>
#include <span>
#include <string>
#include <string_view>

#include "core/steering/lookup.h"

namespace lycheegap::transport {

/// Encodes the hosts of a look-up answer as JSON, without expiry and ticket. The result can be cached.
std::string encode_lookup_hosts(std::span<const steering::host_choice> choices);

/// Adds expiry (Unix time in ms) and ticket to the result of `encode_lookup_hosts`. An empty `hosts` gives an
/// answer with an empty host list. The ticket must not contain characters that JSON strings escape.
std::string complete_lookup_answer(std::string_view hosts, std::int64_t expires_at_unix_ms,
                                   std::string_view ticket);

} // namespace lycheegap::transport
