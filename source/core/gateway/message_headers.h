#pragma once

#include <optional>
#include <string>
#include <string_view>

#include "gateway_state.h"

namespace lycheegap::gateway {

inline std::string_view to_view(beast::string_view text) {
    return {text.data(), text.size()};
}

/// Key of a header "Authorization: Bearer KEY", or empty.
std::string_view bearer_key(const request_message& from);

/// Value of a cookie, or empty.
std::string_view cookie_value(const request_message& from, std::string_view name);

/// Path of a request without its query.
std::string_view path_of(const request_message& from);

/// Time that the caller says it waits; empty when it says nothing readable.
std::optional<common::milliseconds> stated_wait(const request_message& from, std::string_view header);

/// What a request needs on its way to one endpoint.
struct onward_headers {
    std::string_view team;
    std::string_view target;
    common::milliseconds time_left{0};
};

/// The request as it goes to an endpoint: without the key, and without headers that concern one connection
/// only.
request_message onward_request(const request_message& from, const header_names& names,
                               const onward_headers& added);

/// The endpoint's answer as it goes to the caller: status, body and headers, but for those of one connection.
response_message onward_answer(response_message answer, const request_message& to);

/// Load that an endpoint reported, or empty.
std::optional<traffic::load_report> reported_load(const response_message& answer, std::string_view header);

} // namespace lycheegap::gateway
