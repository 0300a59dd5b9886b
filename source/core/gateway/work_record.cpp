#include "work_record.h"

#include <cmath>

#include "core/traffic/remaining_work.h"

namespace lycheegap::gateway {

namespace {

double milliseconds_of(common::time_point from, common::time_point to) {
    return common::seconds_between(from, to) * 1000;
}

/// Learns the round trip time if the attempt opened its connection; returns the time in ms that it took.
double record_connect(traffic::endpoint_state& endpoint, const running_attempt& it) {
    if (it.kept_connection || it.connection->connected_at < it.sent_at) {
        return 0;
    }
    const double ms = milliseconds_of(it.sent_at, it.connection->connected_at);
    traffic::note_round_trip(endpoint, ms);
    return ms;
}

void count_answer(gateway_state& state, const running_attempt& it, traffic::answer_class classified) {
    if (classified != traffic::answer_class::unknown) {
        common::count(state.metrics,
                      classified == traffic::answer_class::cached ? "cached_answers" : "uncached_answers");
    }
    if (it.placed.entry.region != state.options.region) {
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
    auto& endpoint = *attempt.placed.endpoint;
    traffic::end_work(endpoint, attempt.work_id);
    const double connect_ms = record_connect(endpoint, attempt);
    if (it.report) {
        traffic::note_reported_work(endpoint, *it.report, it.ended_at);
    }
    if (!it.succeeded || !it.report) {
        return;
    }
    const bool waited = expected.expected_start - attempt.sent_at > traffic::negligible_wait;
    const auto run_ms = traffic::measured_run_ms(endpoint, {.sent_at = attempt.sent_at,
                                                            .answered_at = it.ended_at,
                                                            .connect_ms = connect_ms,
                                                            .expected_to_wait = waited,
                                                            .report = *it.report,
                                                            .report_before = it.report_before,
                                                            .report_before_at = it.report_before_at});
    const double taken_ms = milliseconds_of(attempt.sent_at, it.ended_at);
    const double expected_ms = milliseconds_of(attempt.sent_at, expected.expected_end);
    common::measure(state.metrics, "expected_answer_ms", expected_ms);
    common::measure(state.metrics, "answer_ms", taken_ms);
    common::measure(state.metrics, "answer_error_ms", std::abs(taken_ms - expected_ms));
    auto classified = traffic::answer_class::unknown;
    if (run_ms) {
        classified = traffic::note_work(state.endpoints.costs,
                                        {.kind = it.kind, .run_ms = *run_ms, .rank = expected.rank});
        const bool uncached = classified == traffic::answer_class::uncached;
        const double usual = uncached ? expected.work.uncached_ms : expected.work.cached_ms;
        traffic::note_run(endpoint, *run_ms, usual, it.ended_at);
    }
    count_answer(state, attempt, classified);
}

} // namespace lycheegap::gateway
