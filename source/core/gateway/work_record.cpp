#include "work_record.h"

#include <cmath>

namespace lycheegap::gateway {

namespace {

double milliseconds_of(common::time_point from, common::time_point to) {
    return common::seconds_between(from, to) * 1000;
}

/// Time in ms in which the attempt opened its connection; 0 if it was open.
double connect_ms(const running_attempt& it) {
    const bool opened = !it.kept_connection && it.connection->connected_at >= it.sent_at;
    return opened ? milliseconds_of(it.sent_at, it.connection->connected_at) : 0;
}

void count_answer(gateway_state& state, const ended_attempt& it, traffic::answer_class classified) {
    const auto& attempt = *it.attempt;
    const auto taken_ms = milliseconds_of(attempt.sent_at, it.ended_at);
    const auto expected_ms = milliseconds_of(attempt.sent_at, attempt.placed.basis.expected.expected_end);
    common::measure(state.metrics, "expected_answer_ms", expected_ms);
    common::measure(state.metrics, "answer_ms", taken_ms);
    common::measure(state.metrics, "answer_error_ms", std::abs(taken_ms - expected_ms));
    if (classified != traffic::answer_class::unknown) {
        const bool is_cached = classified == traffic::answer_class::cached;
        common::count(state.metrics, is_cached ? "cached_answers" : "uncached_answers");
    }
    if (attempt.placed.entry.region != state.options.region) {
        common::count(state.metrics, "answers_from_other_regions");
    }
}

} // namespace

traffic::work_kind work_kind_of(const call& pending, const admitted_call& admitted) {
    return {.service = admitted.service,
            .route = admitted.route->name,
            .object_key = admitted.affinity_key,
            .body_bytes = pending.request.body().size(),
            .target_latency = admitted.route->target_latency};
}

void record_work(gateway_state& state, const ended_attempt& it) {
    const auto& attempt = *it.attempt;
    const auto& expected = attempt.placed.basis.expected;
    if (expected.rule != traffic::placement_rule::by_work) {
        return;
    }
    const auto classified = traffic::note_answered(*attempt.placed.endpoint, state.endpoints.costs,
                                                   {.kind = it.kind,
                                                    .expected = &expected,
                                                    .work_id = attempt.work_id,
                                                    .sent_at = attempt.sent_at,
                                                    .answered_at = it.ended_at,
                                                    .connect_ms = connect_ms(attempt),
                                                    .succeeded = it.succeeded,
                                                    .report = it.report,
                                                    .report_before = it.report_before,
                                                    .report_before_at = it.report_before_at});
    if (it.succeeded) {
        count_answer(state, it, classified);
    }
}

} // namespace lycheegap::gateway
