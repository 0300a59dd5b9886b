#pragma once

#include <string_view>

namespace lycheegap::host {

/// Keys of the values that the fleet keeps in the platform's store.
inline constexpr std::string_view catalog_key = "lycheegap/catalog";
inline constexpr std::string_view generation_key = "lycheegap/generation";

} // namespace lycheegap::host
