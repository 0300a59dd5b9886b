#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace lycheegap::common {

/// What the process was doing when an error arose.
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

/// Why the last failed call of this thread failed.
struct reason {
    step at{step::none};
    /// Address, file or name of the other side; empty when there is none.
    std::string peer;
    std::string text;
};

/// Keeps the reason for `last_reason` and returns the empty optional, so that a failing function ends with
/// `return fail(...)`.
std::nullopt_t fail(step at, std::string_view peer, std::string_view text);

/// The reason kept by the last `fail` of the calling thread.
const reason& last_reason();

/// Name of a step as logs and answers show it.
std::string_view step_name(step at);

/// "step=... peer=... reason" in one line.
std::string describe(const reason& why);

} // namespace lycheegap::common
