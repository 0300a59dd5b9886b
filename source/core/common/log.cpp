#include "log.h"

#include <algorithm>
#include <chrono>
#include <memory>

#include <fmt/format.h>
#include <spdlog/async.h>
#include <spdlog/sinks/stdout_sinks.h>
#include <spdlog/spdlog.h>

namespace lycheegap::common {

namespace {

bool is_control(char c) {
    const auto byte = static_cast<unsigned char>(c);
    return byte < 0x20 || byte == 0x7f;
}

bool needs_quotes(std::string_view value) {
    return value.empty() || value.find_first_of(" =\"") != std::string_view::npos ||
           std::any_of(value.begin(), value.end(), &is_control);
}

/// Names from outside may hold control bytes, which must not reach a terminal or begin a line.
void append_quoted(std::string& line, char c) {
    if (c == '\n') {
        line += ' ';
    } else if (is_control(c) && c != '\t') {
        line += fmt::format("\\x{:02x}", static_cast<unsigned char>(c));
    } else if (c == '"' || c == '\\') {
        line += '\\';
        line += c;
    } else {
        line += c;
    }
}

void append_value(std::string& line, std::string_view value) {
    if (!needs_quotes(value)) {
        line += value;
        return;
    }
    line += '"';
    for (const char it : value) {
        append_quoted(line, it);
    }
    line += '"';
}

void write_line(spdlog::level::level_enum level, std::string_view event, log_fields fields) {
    auto* logger = spdlog::default_logger_raw();
    if (!logger->should_log(level)) {
        return;
    }
    logger->log(level, "{}", format_line(event, fields));
}

// Lines that may wait for the writer thread; beyond that the oldest one is dropped.
constexpr std::size_t line_queue_capacity = 1024;
// Maximum time that a written line stays in the output buffer.
constexpr std::chrono::seconds flush_interval{1};

std::shared_ptr<spdlog::logger> make_logger(const std::string& process, log_target target) {
    if (target == log_target::standard_error) {
        return spdlog::stderr_logger_mt(process);
    }
    spdlog::init_thread_pool(line_queue_capacity, 1);
    return spdlog::create_async_nb<spdlog::sinks::stdout_sink_mt>(process);
}

} // namespace

void start_log(std::string_view process, std::string_view minimum_level, log_target target) {
    auto logger = make_logger(std::string(process), target);
    logger->set_pattern("time=%Y-%m-%dT%H:%M:%S.%e level=%l process=%n %v");
    logger->set_level(spdlog::level::from_str(std::string(minimum_level)));
    logger->flush_on(target == log_target::standard_error ? spdlog::level::info : spdlog::level::warn);
    if (target == log_target::standard_output) {
        spdlog::flush_every(flush_interval);
    }
    spdlog::set_default_logger(std::move(logger));
}

void end_log() {
    spdlog::shutdown();
}

void log_debug(std::string_view event, log_fields fields) {
    write_line(spdlog::level::debug, event, fields);
}

void log_info(std::string_view event, log_fields fields) {
    write_line(spdlog::level::info, event, fields);
}

void log_warning(std::string_view event, log_fields fields) {
    write_line(spdlog::level::warn, event, fields);
}

void log_error(std::string_view event, log_fields fields) {
    write_line(spdlog::level::err, event, fields);
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
