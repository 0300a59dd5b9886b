#include "exchange.h"

#include <fmt/format.h>

#include "core/common/log.h"
#include "core/schema/codec.h"
#include "core/schema/generated/callers_generated.h"
#include "host_state.h"

namespace lycheegap::host {

namespace {

using common::field;

struct refusal_kind {
    std::string_view name;
    int status;
};

refusal_kind kind_of(refusal_reason reason) {
    switch (reason) {
    case refusal_reason::key:
        return {"key", 401};
    case refusal_reason::route:
        return {"route", 404};
    case refusal_reason::id:
        return {"id", 400};
    case refusal_reason::memory:
        return {"memory", 503};
    case refusal_reason::queue:
        return {"queue", 503};
    case refusal_reason::authority:
        return {"authority", 503};
    case refusal_reason::rate:
        return {"rate", 429};
    case refusal_reason::home:
        return {"home", 503};
    case refusal_reason::endpoint:
        return {"endpoint", 503};
    }
    return {"internal", 500};
}

} // namespace

exchange_result refuse(host_state& host, const exchange& it, refusal_reason reason, bool may_have_run,
                       std::string_view text) {
    return refuse_with(host, it, reason, may_have_run, text, kind_of(reason).status, "");
}

exchange_result refuse_with(host_state& host, const exchange& it, refusal_reason reason, bool may_have_run,
                            std::string_view text, int status, std::string_view ticket) {
    const auto kind = kind_of(reason);
    schema::refusal_t refusal;
    refusal.reason = kind.name;
    refusal.outcome = may_have_run ? "unknown" : "not_run";
    refusal.text = text;
    refusal.request_id = it.request_id;
    refusal.ticket = ticket;
    common::count(host.metrics, fmt::format("refused_{}", kind.name));
    common::log_info("request_refused", {field("request", it.request_id), field("reason", kind.name),
                                         field("outcome", refusal.outcome),
                                         field("team", it.team != nullptr ? it.team->name : "-")});
    auto answer = transport::json_response(status, schema::to_json<schema::refusal>(refusal));
    answer.headers.push_back({std::string(outcome_header), refusal.outcome});
    const auto state = may_have_run ? execution::outcome_state::unknown : execution::outcome_state::not_run;
    return {std::move(answer), state};
}

} // namespace lycheegap::host
