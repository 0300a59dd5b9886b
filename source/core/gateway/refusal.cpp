#include "refusal.h"

#include <fmt/format.h>

namespace lycheegap::gateway {

namespace {

/// Whether a status guarantees that the request has not run. 502 and 504 leave the outcome unknown.
bool guarantees_not_run(unsigned int status) {
    return status != 502 && status != 504;
}

} // namespace

response_message make_refusal(const refusal& why, const request_message& request) {
    response_message response(static_cast<http::status>(why.status), 11);
    response.set(http::field::content_type, "application/json");
    if (why.retry_after) {
        const double seconds = std::chrono::duration<double>(*why.retry_after).count();
        response.set(http::field::retry_after, fmt::format("{:.2f}", seconds));
    }
    const auto text = fmt::format("{{\"reason\":\"{}\",\"outcome\":\"{}\"}}", why.reason,
                                  guarantees_not_run(why.status) ? "not_run" : "unknown");
    if (request.method() == http::verb::head) {
        response.content_length(text.size());
        return response;
    }
    response.body() = text;
    response.prepare_payload();
    return response;
}

} // namespace lycheegap::gateway
