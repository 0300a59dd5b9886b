#pragma once

#include <optional>

#include "attempt.h"
#include "core/traffic/work_learning.h"

namespace lycheegap::gateway {

/// How the request of an attempt is looked up among the learned costs.
traffic::work_kind work_kind_of(const call& pending, const admitted_call& admitted);

/// An attempt that has ended, as far as it tells about the work at its endpoint.
struct ended_attempt {
    const running_attempt* attempt{nullptr};
    traffic::work_kind kind;
    /// The endpoint ran the request and answered it with success.
    bool succeeded{false};
    common::time_point ended_at;
    std::optional<traffic::load_report> report;
    /// The endpoint's report before, and when it arrived.
    traffic::load_report report_before;
    common::time_point report_before_at;
};

/// Takes the request off the work of its endpoint, learns from its answer and counts it. The caller holds the
/// lock of the endpoint table.
void record_work(gateway_state& state, const ended_attempt& it);

} // namespace lycheegap::gateway
