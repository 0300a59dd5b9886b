#pragma once

#include <cstdint>

#include "core/catalog/catalog.h"
#include "core/common/clock.h"

namespace lycheegap::execution {

/// How one attempt at an endpoint ended.
enum class attempt_result : std::uint8_t {
    /// The whole answer was received.
    answered,
    /// The endpoint reported that it did not run the request.
    shed,
    /// No byte of the request was sent.
    not_sent,
    /// The request may have run; its answer is missing or incomplete.
    lost,
};

/// What to do after an attempt.
enum class next_action : std::uint8_t {
    /// Forward the answer to the caller.
    pass_answer,
    /// Make another attempt.
    try_again,
    /// Refuse and report that the request did not run.
    refuse_not_run,
    /// Refuse and report that the request may have run.
    refuse_unknown,
};

/// State of one request across all its attempts.
struct attempt_state {
    catalog::work_class work{catalog::work_class::interactive};
    int attempts_made{0};
    /// Most attempts, the first included.
    int attempt_limit{1};
    /// Deadline of the request, shared by all attempts.
    common::time_point deadline;
    /// Set once an attempt was lost.
    bool may_have_run{false};
};

/// Counts an attempt and decides what follows. A non-idempotent request (class once) is never tried again
/// after a lost attempt.
next_action after_attempt(attempt_state& state, attempt_result result, common::time_point now);

} // namespace lycheegap::execution
