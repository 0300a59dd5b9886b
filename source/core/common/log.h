#pragma once

#include <cstdint>
#include <initializer_list>
#include <string>
#include <string_view>

#include <fmt/format.h>

namespace lycheegap::common {

/// One key=value pair of a log line.
struct log_field {
    std::string_view key;
    std::string value;
};

/// Makes a field of anything that fmt can print.
template <typename Value>
log_field field(std::string_view key, const Value& value) {
    return {key, fmt::format("{}", value)};
}

using log_fields = std::initializer_list<log_field>;

/// Where log lines go.
enum class log_target : std::uint8_t {
    /// Standard error, line by line.
    error,
    /// Standard output, by a thread of its own: a line waits in a bounded queue, and the oldest one is
    /// dropped when
    /// that is full.
    output,
};

/// Writes from `least_level` up: debug, info, warn or error. `process` starts each line.
void start_log(std::string_view process, std::string_view least_level, log_target target = log_target::error);

/// Writes what waits, at the end of the process.
void end_log();

/// One line for one event, as key=value pairs; values with spaces are quoted.
void log_debug(std::string_view event, log_fields fields);
void log_info(std::string_view event, log_fields fields);
void log_warning(std::string_view event, log_fields fields);
void log_error(std::string_view event, log_fields fields);

/// The text of a line, without time and level.
std::string format_line(std::string_view event, log_fields fields);

} // namespace lycheegap::common
