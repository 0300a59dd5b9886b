#pragma once

#include <cstdint>

#include "core/catalog/catalog.h"
#include "core/common/clock.h"

namespace lycheegap::execution {

/// How one attempt at an endpoint ended.
enum class attempt_result : std::uint8_t {
    /// The whole answer is there.
    answered,
    /// The endpoint said that it did not run the request.
    shed,
    /// No byte of the request left this host.
    not_sent,
    /// The request may have run; its answer is missing or not whole.
    lost,
};

/// What to do after an attempt.
enum class next_action : std::uint8_t {
    pass_answer,
    try_again,
    /// Refuse; the request certainly did not run.
    refuse_not_run,
    /// Refuse; whether the request ran is not known.
    refuse_unknown,
};

/// State of one request over all its attempts.
struct attempt_state {
    catalog::work_class work{catalog::work_class::interactive};
    int attempts_made{0};
    int attempt_limit{1};
    /// Covers all attempts.
    common::time_point deadline;
    /// An attempt was lost: the request may have run.
    bool may_have_run{false};
};

/// Counts the attempt and decides. An attempt at non-idempotent work that was lost is never followed by
/// another one.
next_action after_attempt(attempt_state& state, attempt_result result, common::time_point now);

} // namespace lycheegap::execution
