#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace lycheegap::common {

/// Operation that was in progress when an error occurred. The names appear in logs and answers.
enum class step : std::uint8_t {
    none,
    read_settings,
    check_settings,
    listen,
    connect,
    send,
    receive,
    encode,
    decode,
    authenticate,
    store_read,
    store_write,
    validate,
    join,
    steer,
    spend,
    run,
};

/// Description of a failed call.
struct reason {
    step failed_step{step::none};
    /// Address, file or name of the resource or peer involved; empty when there is none.
    std::string peer;
    std::string text;
};

/// Stores the reason for `last_reason` of the calling thread and returns an empty optional, so that a failing
/// function can end with `return fail(...)`.
std::nullopt_t fail(step at, std::string_view peer, std::string_view text);

/// Reason stored by the most recent `fail` on the calling thread. A successful call does not reset it.
const reason& last_reason();

/// Name of a step as written to logs and answers.
std::string_view step_name(step at);

/// One-line text of a reason: "step STEP at 'PEER': TEXT".
std::string describe_reason(const reason& why);

} // namespace lycheegap::common
