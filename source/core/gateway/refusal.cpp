#include "refusal.h"

#include <fmt/format.h>

namespace lycheegap::gateway {

namespace {

/// Whether a status promises that the request has not run.
bool promises_not_run(unsigned int status) {
    return status != 502 && status != 504;
}

} // namespace

response_message make_refusal(const refusal& why, const request_message& to) {
    response_message answer(static_cast<http::status>(why.status), 11);
    answer.set(http::field::content_type, "application/json");
    if (why.retry_after) {
        const double seconds = std::chrono::duration<double>(*why.retry_after).count();
        answer.set(http::field::retry_after, fmt::format("{:.2f}", seconds));
    }
    const auto text = fmt::format("{{\"reason\":\"{}\",\"outcome\":\"{}\"}}", why.reason,
                                  promises_not_run(why.status) ? "not_run" : "unknown");
    if (to.method() == http::verb::head) {
        answer.content_length(text.size());
        return answer;
    }
    answer.body() = text;
    answer.prepare_payload();
    return answer;
}

} // namespace lycheegap::gateway
