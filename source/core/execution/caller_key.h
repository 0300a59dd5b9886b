#pragma once

#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace lycheegap::execution {

/// Header, query parameter and cookie in which a caller may send its team's key.
inline constexpr std::string_view key_header = "x-team-key";
inline constexpr std::string_view key_parameter = "team_key";
inline constexpr std::string_view key_cookie = "team_key";

struct header {
    std::string name;
    std::string value;
};

/// Method, target and headers of a request that is forwarded to an endpoint.
struct request_head {
    std::string method;
    std::string path;
    /// Without the question mark.
    std::string query;
    std::vector<header> headers;
};

/// Removes every occurrence of the caller's key from headers, query and cookies, and referrers that contain
/// the query parameter, so that no endpoint sees the key. Returns the first key found, in the order header,
/// query, cookie; empty if there is none.
std::optional<std::string> extract_key(request_head& head);

/// Value of the first header with this name, compared without regard to case, or empty.
std::string_view find_header(const std::vector<header>& headers, std::string_view name);

/// Whether two header names are equal without regard to case.
bool equals_ignoring_case(std::string_view a, std::string_view b);

} // namespace lycheegap::execution
