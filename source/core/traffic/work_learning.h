#pragma once

#include <cstdint>
#include <optional>

#include "placement.h"
#include "remaining_work.h"

namespace lycheegap::traffic {

/// A request that has ended at its endpoint, with what was expected of it.
struct answered_request {
    work_kind kind;
    const placement* expected{nullptr};
    /// From `begin_work`.
    std::uint64_t work_id{0};
    common::time_point sent_at;
    common::time_point answered_at;
    /// Time in ms in which the connection was opened; 0 if it was open.
    double connect_ms{0};
    /// The endpoint ran the request and answered it with success.
    bool succeeded{false};
    std::optional<load_report> report;
    /// The endpoint's report before, and when it arrived.
    load_report report_before;
    common::time_point report_before_at;
};

/// Takes the request off the work of its endpoint, and learns from the answer: costs, speed and load. Call it
/// after `note_report`. Returns the classification of the answer; unknown if it may have waited for a slot.
answer_class note_answered(endpoint_state& endpoint, work_costs& costs, const answered_request& it);

} // namespace lycheegap::traffic
