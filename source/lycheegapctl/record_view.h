#pragma once

#include <optional>
#include <string>
#include <string_view>

#include "command.h"

namespace lycheegap::ctl {

/// Formats the part of a configuration (JSON of a catalog_record) that `request` names. Empty, with
/// `common::last_reason()` set, when the record does not exist or the JSON or the file to compare is invalid.
std::optional<std::string> show_records(const command& request, std::string_view catalog_json);

/// Lines found in only one of two texts: first those of `before`, marked "- ", then those of `after`, marked
/// "+ ". Compares sets of lines: reordered or repeated lines are not reported.
std::string line_diff(std::string_view before, std::string_view after);

} // namespace lycheegap::ctl
