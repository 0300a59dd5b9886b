#pragma once

#include <string>
#include <string_view>

namespace lycheegap::common {

/// Escapes all bytes except the unreserved characters of RFC 3986, 2.3, and those in `kept`: for a path or a
/// value in a query.
std::string percent_encode(std::string_view text, std::string_view kept = {});

/// Decodes escapes. Incomplete and invalid ones stay as they are.
std::string percent_decode(std::string_view text);

/// Whether a query has only characters that RFC 3986, 3.4, allows, and complete escapes.
bool is_valid_query(std::string_view query);

} // namespace lycheegap::common
