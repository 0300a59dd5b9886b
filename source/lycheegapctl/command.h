#pragma once

#include <optional>
#include <string>
#include <vector>

#include "core/schema/generated/operators_generated.h"

namespace lycheegap::ctl {

/// How an answer is shown.
enum class view_kind : std::uint8_t { answer, list, show, diff, keys };

/// What one command line asks of a host.
struct command {
    std::string path;
    std::string query;
    /// JSON to post; empty for a question.
    std::string body;
    view_kind view{view_kind::answer};
    /// Of views of the configuration: template, team or service, and the record's name or file.
    std::string kind;
    std::string subject;
};

struct edit_options {
    /// Conflict when the record was changed after this revision; 0 does not ask.
    std::uint64_t expected_revision{0};
    /// Set a record also when it was changed since the operator saw it.
    bool force{false};
};

/// Words of the command line after the options, such as {"team", "set", "FILE"}. The reason tells what
/// is wrong.
std::optional<command> parse_command(const std::vector<std::string>& words, const edit_options& options);

/// Text of a file, or of standard input for "-".
std::optional<std::string> read_file(const std::string& file);

/// One line per command.
std::string usage_text();

} // namespace lycheegap::ctl
