#pragma once

#include <string_view>

namespace lycheegap::host {

/// Key of the one value that the fleet keeps in the platform's store: the control record.
inline constexpr std::string_view control_key = "lycheegap/control";

} // namespace lycheegap::host
