#include "last_reason.h"

#include <array>

#include <fmt/format.h>

namespace lycheegap::common {

namespace {

// Indexed by `step`.
constexpr std::array<std::string_view, 17> step_names = {
    "none",     "read_settings", "check_settings", "listen",       "connect",    "send",
    "receive",  "encode",        "decode",         "authenticate", "store_read", "store_write",
    "validate", "join",          "steer",          "spend",        "run",
};

reason& thread_reason() {
    thread_local reason latest;
    return latest;
}

} // namespace

std::nullopt_t fail(step at, std::string_view peer, std::string_view text) {
    thread_reason() = reason{at, std::string(peer), std::string(text)};
    return std::nullopt;
}

const reason& last_reason() {
    return thread_reason();
}

std::string_view step_name(step at) {
    return step_names.at(static_cast<std::size_t>(at));
}

std::string describe_reason(const reason& why) {
    return fmt::format("step {} at '{}': {}", step_name(why.failed_step), why.peer, why.text);
}

} // namespace lycheegap::common
