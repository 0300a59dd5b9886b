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

/// Formats any value that fmt supports as a log field.
template <typename Value>
log_field field(std::string_view key, const Value& value) {
    return {key, fmt::format("{}", value)};
}

using log_fields = std::initializer_list<log_field>;

/// Where log lines go.
enum class log_target : std::uint8_t {
    /// Standard error, written synchronously.
    standard_error,
    /// Standard output, written by a separate thread from a bounded queue; the oldest line is dropped
    /// when the queue is full.
    standard_output,
};

/// Sets up the process-wide log. `process` is written into each line; lines below `minimum_level` (debug,
/// info, warn, error or off) are discarded.
void start_log(std::string_view process, std::string_view minimum_level,
               log_target target = log_target::standard_error);

/// Writes the queued lines and closes the log. Call it at the end of the process.
void end_log();

/// Logs one event as one line of key=value pairs. Values that are empty or contain a space, control byte,
/// quote or equals sign are quoted; a line break becomes a blank, another control byte an escape as in
/// "\x01".
void log_debug(std::string_view event, log_fields fields);
void log_info(std::string_view event, log_fields fields);
void log_warning(std::string_view event, log_fields fields);
void log_error(std::string_view event, log_fields fields);

/// Text of a log line, without time, level and process.
std::string format_line(std::string_view event, log_fields fields);

} // namespace lycheegap::common
