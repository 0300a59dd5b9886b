#pragma once

#include <optional>
#include <string>
#include <string_view>

#include "core/schema/generated/settings_generated.h"

namespace lycheegap::settings {

/// Settings of a daemon as declared in schema/settings.fbs; every section is present.
using daemon_settings = schema::daemon_settings_t;

/// Parses INI text. Unknown sections and keys, wrong types, values out of range and missing needed keys are
/// errors; the reason names `file`, section and key.
std::optional<daemon_settings> parse_settings(std::string_view text, std::string_view file);

/// Reads and parses a file.
std::optional<daemon_settings> load_settings(const std::string& file);

/// The settings page of the docs: a Markdown table per section, from the schema.
std::string settings_reference();

} // namespace lycheegap::settings
