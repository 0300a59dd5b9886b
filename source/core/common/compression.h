#pragma once

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>

namespace lycheegap::common {

/// Compresses a value with Zstandard. With a non-empty `base` the result is little larger than what differs
/// from it, and only the same base restores the value. Empty on an error; `last_reason` describes it.
std::optional<std::string> compress(std::string_view value, std::string_view base);

/// Restores a value that `compress` made with the same `base`. Empty when the bytes are damaged, were made
/// with another base, or the value is larger than `max_bytes`; `last_reason` describes the error.
std::optional<std::string> expand(std::string_view compressed, std::string_view base, std::size_t max_bytes);

} // namespace lycheegap::common
