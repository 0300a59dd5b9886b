#include "work_learning.h"

namespace lycheegap::traffic {

answer_class note_answered(endpoint_state& endpoint, work_costs& costs, const answered_request& it) {
    end_work(endpoint, it.work_id);
    if (it.connect_ms > 0) {
        note_round_trip(endpoint, it.connect_ms);
    }
    if (!it.report) {
        return answer_class::unknown;
    }
    note_reported_work(endpoint, *it.report, it.answered_at);
    if (!it.succeeded) {
        return answer_class::unknown;
    }
    const auto run_ms = measured_run_ms(
        endpoint, {.sent_at = it.sent_at,
                   .answered_at = it.answered_at,
                   .connect_ms = it.connect_ms,
                   .expected_to_wait = it.expected->expected_start - it.sent_at > negligible_wait,
                   .report = *it.report,
                   .report_before = it.report_before,
                   .report_before_at = it.report_before_at});
    if (!run_ms) {
        return answer_class::unknown;
    }
    const auto classified = note_work(costs, {.kind = it.kind, .run_ms = *run_ms, .rank = it.expected->rank});
    const auto& work = it.expected->work;
    note_run(endpoint, *run_ms, classified == answer_class::uncached ? work.uncached_ms : work.cached_ms,
             it.answered_at);
    return classified;
}

} // namespace lycheegap::traffic
