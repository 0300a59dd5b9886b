#pragma once

#include <optional>
#include <string>
#include <string_view>

#include "command.h"

namespace lycheegap::ctl {

/// Text for the operator of the part of a configuration (JSON of a catalog_record) that `asked` names. The
/// reason tells when there is no such record or file.
std::optional<std::string> show_records(const command& asked, std::string_view catalog_json);

/// Lines that only one of two texts has, in order, marked - and +.
std::string line_diff(std::string_view before, std::string_view after);

} // namespace lycheegap::ctl
