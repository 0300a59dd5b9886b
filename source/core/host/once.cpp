#include "once.h"

#include <mutex>

#include <fmt/format.h>

#include "attempts.h"
#include "core/common/digest.h"
#include "forward.h"
#include "host_state.h"

namespace lycheegap::host {

namespace {

using common::monotonic;
using execution::id_verdict;
using execution::outcome_entry;
using execution::outcome_state;

constexpr int status_precondition_required = 428;
constexpr int status_conflict = 409;
constexpr int status_gone = 410;

/// Hash that tells requests under the same id apart. Never 0, which marks an id recorded without a request.
std::uint64_t fingerprint_of(const exchange& it) {
    const auto parts = fmt::format("{}\n{}\n{}\n{:016x}", it.head.method, it.head.path, it.head.query,
                                   common::stable_hash(transport::as_text(it.body)));
    return std::max<std::uint64_t>(1, common::stable_hash(parts));
}

std::string_view team_name(const exchange& it) {
    return it.team != nullptr ? std::string_view(it.team->name) : std::string_view();
}

struct id_decision {
    id_verdict verdict{id_verdict::invalid};
    /// Set when the verdict is `remembered`.
    outcome_entry entry;
};

/// Registers the id as under way, or waits until the earlier request with the same id ends, at most until the
/// deadline.
id_decision register_id(host_state& host, const exchange& it) {
    auto& table = host.outcomes;
    const auto fingerprint = fingerprint_of(it);
    std::unique_lock guard(table.mutex);
    while (true) {
        const auto memory = table.memories.find(it.id->source.incarnation);
        if (memory == table.memories.end()) {
            return {id_verdict::expired, {}};
        }
        const auto now = monotonic::now();
        const auto verdict =
            execution::begin_request(memory->second, *it.id, fingerprint, team_name(it), now);
        if (verdict == id_verdict::remembered) {
            return {verdict, *execution::find_outcome(memory->second, *it.id)};
        }
        if (verdict != id_verdict::wait || now >= it.deadline) {
            return {verdict, {}};
        }
        table.changed.wait_until(guard, it.deadline);
    }
}

/// Records the outcome of a running request when the scope ends. After an exception it is `unknown`, since
/// the request may have run.
struct outcome_recorder {
    outcome_recorder(host_state& owner, const execution::request_id& key) : host(&owner), id(key) {}

    outcome_recorder(const outcome_recorder&) = delete;
    outcome_recorder& operator=(const outcome_recorder&) = delete;
    outcome_recorder(outcome_recorder&&) = delete;
    outcome_recorder& operator=(outcome_recorder&&) = delete;

    ~outcome_recorder() {
        const std::lock_guard guard(host->outcomes.mutex);
        const auto memory = host->outcomes.memories.find(id.source.incarnation);
        if (memory != host->outcomes.memories.end()) {
            execution::finish_request(memory->second, id, state, std::move(answer));
        }
        host->outcomes.changed.notify_all();
    }

    host_state* host;
    execution::request_id id;
    outcome_state state{outcome_state::unknown};
    execution::kept_answer answer;
};

exchange_result run_and_record(host_state& host, const exchange& it) {
    outcome_recorder recorder(host, *it.id);
    auto result = run_exchange(host, it);
    recorder.state = result.state;
    recorder.answer = {result.response.status, result.response.headers, result.response.body};
    return result;
}

exchange_result answer_from_memory(host_state& host, const exchange& it, outcome_entry entry) {
    common::count(host.metrics, "repeats_remembered");
    if (entry.answer.status == 0) {
        const bool may_have_run = entry.state != outcome_state::not_run;
        const auto* text = may_have_run ? "the request's end was not seen" : "an inquiry settled this id";
        return refuse_with(host, it, refusal_reason::id, may_have_run, text, status_conflict, "");
    }
    if (!execution::find_header(entry.answer.headers, execution::dropped_body_header).empty()) {
        const auto text = fmt::format("the request ran and was answered with status {}; the answer itself "
                                      "was too long to keep",
                                      entry.answer.status);
        return refuse_with(host, it, refusal_reason::id, true, text, status_gone, "");
    }
    entry.answer.headers.push_back({"x-repeated", "1"});
    return {{entry.answer.status, std::move(entry.answer.headers), std::move(entry.answer.body)},
            entry.state};
}

} // namespace

exchange_result run_once(host_state& host, const exchange& it) {
    auto decision = register_id(host, it);
    switch (decision.verdict) {
    case id_verdict::run:
        return run_and_record(host, it);
    case id_verdict::remembered:
        return answer_from_memory(host, it, std::move(decision.entry));
    case id_verdict::wait:
        return refuse(host, it, refusal_reason::id, true, "the request is still under way");
    case id_verdict::full:
        return refuse(host, it, refusal_reason::memory, false, "no room to remember the request id");
    case id_verdict::expired:
        return refuse_with(host, it, refusal_reason::id, true, "the ticket has expired", status_gone, "");
    case id_verdict::mismatch:
        return refuse_with(host, it, refusal_reason::id, false, "another request has this id",
                           status_conflict, "");
    case id_verdict::closed:
        return refuse_with(host, it, refusal_reason::id, false, "the ticket's host has left",
                           status_precondition_required, new_ticket(host));
    case id_verdict::invalid:
        break;
    }
    return refuse(host, it, refusal_reason::id, false, "the ticket was never issued");
}

exchange_result serve_once(host_state& host, const exchange& it) {
    if (!it.id) {
        return refuse_with(host, it, refusal_reason::id, false,
                           "this route needs x-request-id: <ticket of a look-up>.<own counter>",
                           status_precondition_required, new_ticket(host));
    }
    if (holds_outcomes(host, it.id->source.incarnation)) {
        return run_once(host, it);
    }
    return forward_to_holder(host, it);
}

} // namespace lycheegap::host
