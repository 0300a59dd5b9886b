#pragma once

#include <cstdint>
#include <span>
#include <string>
#include <string_view>

#include "core/steering/lookup.h"

namespace lycheegap::transport {

/// JSON of a look-up answer without expiry and ticket.
std::string encode_lookup_hosts(std::span<const steering::host_choice> choices);

/// Adds expiry and ticket to what `encode_lookup_hosts` wrote. A ticket holds only characters that JSON
/// strings take as they are. No hosts give an answer without any.
std::string complete_lookup_answer(std::string_view hosts, std::int64_t expires_at_unix_ms,
                                   std::string_view ticket);

} // namespace lycheegap::transport
