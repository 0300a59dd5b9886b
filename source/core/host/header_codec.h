#pragma once

#include <cstdint>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include "core/execution/caller_key.h"
#include "core/schema/generated/peer_execution_generated.h"

namespace lycheegap::host {

/// Conversions between headers and bodies of peer messages and their plain forms.
std::vector<std::unique_ptr<schema::header_record_t>>
make_headers(const std::vector<execution::header>& source);
std::vector<execution::header>
parse_headers(const std::vector<std::unique_ptr<schema::header_record_t>>& records);
std::vector<std::uint8_t> to_octets(std::string_view text);
std::string_view to_text(const std::vector<std::uint8_t>& octets);

} // namespace lycheegap::host
