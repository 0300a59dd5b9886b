#pragma once

#include <optional>
#include <string>
#include <vector>

#include "core/schema/generated/operators_generated.h"

namespace lycheegap::ctl {

/// How an answer is printed: `raw` as received, the others as a part of the configuration that it holds.
enum class view_kind : std::uint8_t { raw, list, show, diff, keys };

/// The HTTP request for one command line, and how to print its answer.
struct command {
    std::string path;
    std::string query;
    /// JSON to post; empty for a GET request.
    std::string body;
    view_kind view{view_kind::raw};
    /// For all views but `raw`: template, team or service, and the record's name; with `diff` the file to
    /// compare, with `list` empty.
    std::string kind;
    std::string name_or_file;
};

struct edit_options {
    /// The host refuses the edit as a conflict when the record was changed after this revision; 0 skips the
    /// check.
    std::uint64_t expected_revision{0};
    /// Set a record even if it was changed after the revision that the operator's file was made from.
    bool force{false};
};

/// Parses the arguments after the options, such as {"team", "set", "FILE"}; reads the file of a `set`. On an
/// error returns empty and sets `common::last_reason()`.
std::optional<command> parse_command(const std::vector<std::string>& arguments, const edit_options& options);

/// Reads a file, or standard input for "-". On an error returns empty and sets `common::last_reason()`.
std::optional<std::string> read_file(const std::string& file);

/// Help text with the commands.
std::string usage_text();

} // namespace lycheegap::ctl
