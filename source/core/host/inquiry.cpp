#include "inquiry.h"

#include <mutex>

#include "core/schema/codec.h"
#include "core/schema/generated/callers_generated.h"
#include "core/schema/peer_codec.h"
#include "forward.h"
#include "host_state.h"

namespace lycheegap::host {

namespace {

using common::monotonic;
using execution::outcome_state;
using transport::http_response;

constexpr auto inquiry_timeout = common::milliseconds(1000);
constexpr int status_bad_request = 400;
constexpr int status_unavailable = 503;

std::string_view state_name(outcome_state state) {
    switch (state) {
    case outcome_state::under_way:
        return "under_way";
    case outcome_state::answered:
        return "answered";
    case outcome_state::not_run:
        return "not_run";
    case outcome_state::unknown:
        break;
    }
    return "unknown";
}

http_response report(std::string_view id, std::string_view state, int endpoint_status, int status) {
    schema::outcome_report_t record;
    record.request_id = id;
    record.state = state;
    record.status = endpoint_status;
    return transport::json_response(status, schema::to_json<schema::outcome_report>(record));
}

/// The state is not known now and may be known later: the caller should ask again.
http_response report_unresolved(std::string_view id) {
    return report(id, state_name(outcome_state::under_way), 0, status_unavailable);
}

schema::bytes encode_question(std::string_view id) {
    schema::outcome_question_t question;
    question.request_id = id;
    return schema::encode_peer(std::move(question));
}

http_response ask_holder(host_state& host, std::string_view id, std::uint64_t incarnation) {
    const auto deadline = monotonic::now() + inquiry_timeout;
    const auto holder = find_holder(host, incarnation, deadline);
    if (!holder) {
        return report(id, state_name(outcome_state::unknown), 0, 200);
    }
    const auto answer = host.peers->call_and_wait(holder->peer_address, encode_question(id), deadline);
    const auto decoded =
        answer ? schema::decode<schema::peer_message>(*answer, holder->peer_address) : std::nullopt;
    const auto* reported = decoded ? decoded->body.Asoutcome_answer() : nullptr;
    if (reported == nullptr || reported->state.empty()) {
        return report_unresolved(id);
    }
    return report(id, reported->state, reported->status, 200);
}

} // namespace

http_response serve_inquiry(host_state& host, std::string_view request_id) {
    const auto id = execution::parse_request_id(request_id);
    if (!id) {
        return report("", "not an id made of a ticket", 0, status_bad_request);
    }
    common::count(host.metrics, "inquiries");
    if (!holds_outcomes(host, id->source.incarnation)) {
        return ask_holder(host, request_id, id->source.incarnation);
    }
    const auto entry = resolve_outcome(host, *id);
    if (!entry) {
        return report_unresolved(request_id);
    }
    const int status = entry->state == outcome_state::answered ? entry->answer.status : 0;
    return report(request_id, state_name(entry->state), status, 200);
}

schema::outcome_answer_t handle_outcome_question(host_state& host,
                                                 const schema::outcome_question_t& question) {
    schema::outcome_answer_t answer;
    if (question.successor_of != 0) {
        const std::lock_guard guard(host.outcomes.mutex);
        const auto it = host.outcomes.successors.find(question.successor_of);
        answer.successor = it == host.outcomes.successors.end() ? 0 : it->second.incarnation;
        if (host.outcomes.memories.contains(question.successor_of)) {
            answer.successor = host.self.incarnation;
        }
        return answer;
    }
    const auto id = execution::parse_request_id(question.request_id);
    const auto entry = id ? resolve_outcome(host, *id) : std::nullopt;
    if (entry) {
        answer.state = state_name(entry->state);
        answer.status = entry->state == outcome_state::answered ? entry->answer.status : 0;
    }
    return answer;
}

} // namespace lycheegap::host
