#pragma once

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

/// Writes to standard error from `least_level` up: debug, info, warn or error. `process` starts each line.
void start_log(std::string_view process, std::string_view least_level);

/// One line for one event, as key=value pairs; values with spaces are quoted.
void log_debug(std::string_view event, log_fields fields);
void log_info(std::string_view event, log_fields fields);
void log_warning(std::string_view event, log_fields fields);
void log_error(std::string_view event, log_fields fields);

/// The text of a line, without time and level.
std::string format_line(std::string_view event, log_fields fields);

} // namespace lycheegap::common
