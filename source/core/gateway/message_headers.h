#pragma once

#include <optional>
#include <string>
#include <string_view>

#include "gateway_state.h"

namespace lycheegap::gateway {

inline std::string_view to_view(beast::string_view text) {
    return {text.data(), text.size()};
}

/// Key of the header "Authorization: Bearer KEY"; empty if there is none.
std::string_view bearer_key(const request_message& request);

/// Value of a cookie; empty if there is none.
std::string_view cookie_value(const request_message& request, std::string_view name);

/// Path of the request target, without the query.
std::string_view request_path(const request_message& request);

/// Time that the caller waits, from a header with a whole number of ms; empty if the header is missing or
/// malformed. Capped at one hour.
std::optional<common::milliseconds> parse_timeout(const request_message& request, std::string_view header);

/// Values of the headers that this host sets on a forwarded request.
struct forwarding_headers {
    /// Name of the team; empty sends no header.
    std::string_view team;
    /// Id of the endpoint.
    std::string_view target;
    /// Time until the response is due.
    common::milliseconds time_left{0};
};

/// The request as it is sent to an endpoint: without the caller's key and hop-by-hop headers, with the
/// headers of `added` and a view of `body`.
outgoing_request forwarded_request(const request_message& request, std::string_view body,
                                   const header_names& names, const forwarding_headers& added);

/// The endpoint's response as it is sent to the caller: without hop-by-hop headers.
response_message forwarded_response(response_message response, const request_message& request);

/// Time in a Retry-After header, given in seconds with an optional fraction; empty if the header is missing,
/// malformed or negative. Capped at `traffic::max_rest`.
std::optional<common::milliseconds> parse_retry_after(const response_message& response);

/// Load that the endpoint reported in a header "RUNNING,WAITING[,SLOTS[,PERCENT]]"; empty if the header is
/// missing or one of the first two figures is malformed. PERCENT is the time that work takes there now, 100
/// for the usual time.
std::optional<traffic::load_report> parse_load_report(const response_message& response,
                                                      std::string_view header);

/// Limit in requests per second that a response names, between `traffic::min_endpoint_limit` and
/// `traffic::max_endpoint_limit`; empty if the text is no decimal number or negative.
std::optional<double> parse_endpoint_limit(std::string_view text);

} // namespace lycheegap::gateway
