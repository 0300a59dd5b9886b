#pragma once

#include <optional>
#include <string>
#include <vector>

#include "core/schema/generated/operators_generated.h"

namespace lycheegap::ctl {

/// What one command line asks of a host.
struct command {
    std::string path;
    /// JSON to post; empty for a question.
    std::string body;
};

/// Words of the command line after the options, such as {"team", "set", "FILE"}. `expected_revision` 0 takes
/// the current one. The reason tells what is wrong.
std::optional<command> parse_command(const std::vector<std::string>& words, std::uint64_t expected_revision);

/// One line per command.
std::string usage_text();

} // namespace lycheegap::ctl
