#include "log.h"

#include <memory>

#include <spdlog/sinks/stdout_sinks.h>
#include <spdlog/spdlog.h>

namespace lycheegap::common {

namespace {

bool needs_quotes(std::string_view value) {
    return value.empty() || value.find_first_of(" =\"\n\t") != std::string_view::npos;
}

void append_value(std::string& line, std::string_view value) {
    if (!needs_quotes(value)) {
        line += value;
        return;
    }
    line += '"';
    for (const char it : value) {
        if (it == '"' || it == '\\') {
            line += '\\';
        }
        line += it == '\n' ? ' ' : it;
    }
    line += '"';
}

void write(spdlog::level::level_enum level, std::string_view event, log_fields fields) {
    auto* logger = spdlog::default_logger_raw();
    if (!logger->should_log(level)) {
        return;
    }
    logger->log(level, "{}", format_line(event, fields));
}

} // namespace

void start_log(std::string_view process, std::string_view least_level) {
    auto logger = spdlog::stderr_logger_mt(std::string(process));
    logger->set_pattern("time=%Y-%m-%dT%H:%M:%S.%e level=%l process=%n %v");
    logger->set_level(spdlog::level::from_str(std::string(least_level)));
    logger->flush_on(spdlog::level::info);
    spdlog::set_default_logger(std::move(logger));
}

void log_debug(std::string_view event, log_fields fields) {
    write(spdlog::level::debug, event, fields);
}

void log_info(std::string_view event, log_fields fields) {
    write(spdlog::level::info, event, fields);
}

void log_warning(std::string_view event, log_fields fields) {
    write(spdlog::level::warn, event, fields);
}

void log_error(std::string_view event, log_fields fields) {
    write(spdlog::level::err, event, fields);
}

std::string format_line(std::string_view event, log_fields fields) {
    std::string line = "event=";
    append_value(line, event);
    for (const auto& it : fields) {
        line += ' ';
        line += it.key;
        line += '=';
        append_value(line, it.value);
    }
    return line;
}

} // namespace lycheegap::common
