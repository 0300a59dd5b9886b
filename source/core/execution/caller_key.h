#pragma once

#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace lycheegap::execution {

/// Header, query parameter and cookie in which a caller may show its team's key.
inline constexpr std::string_view key_header = "x-team-key";
inline constexpr std::string_view key_parameter = "team_key";
inline constexpr std::string_view key_cookie = "team_key";

struct header {
    std::string name;
    std::string value;
};

/// Head of a request on its way to an endpoint.
struct request_head {
    std::string method;
    std::string path;
    /// Without the question mark.
    std::string query;
    std::vector<header> headers;
};

/// Removes the caller's key from header, query and cookie, wherever it stands, and returns the first one
/// found in that order. Empty when the request shows no key.
std::optional<std::string> take_key(request_head& head);

/// Value of a header by its name, in any case, or empty.
std::string_view find_header(const std::vector<header>& headers, std::string_view name);

/// Whether two header names are the same, in any case.
bool same_name(std::string_view a, std::string_view b);

} // namespace lycheegap::execution
