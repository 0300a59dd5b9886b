#include "attempt.h"

namespace lycheegap::execution {

namespace {

bool may_try_again(const attempt_state& state, common::time_point now) {
    const bool is_repeatable = state.work != catalog::work_class::once || !state.may_have_run;
    return is_repeatable && state.attempts_made < state.attempt_limit && now < state.deadline;
}

} // namespace

next_action after_attempt(attempt_state& state, attempt_result result, common::time_point now) {
    ++state.attempts_made;
    if (result == attempt_result::answered) {
        return next_action::pass_answer;
    }
    if (result == attempt_result::lost) {
        state.may_have_run = true;
    }
    if (may_try_again(state, now)) {
        return next_action::try_again;
    }
    return state.may_have_run ? next_action::refuse_unknown : next_action::refuse_not_run;
}

} // namespace lycheegap::execution
