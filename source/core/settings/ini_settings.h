#pragma once

#include <optional>
#include <string>
#include <string_view>

#include "core/schema/generated/entry_settings_generated.h"

namespace lycheegap::settings {

/// Settings of a daemon as declared in schema/settings.fbs; every section is present.
using daemon_settings = schema::daemon_settings_t;

/// Settings of an entry host as declared in schema/entry_settings.fbs; every section is present.
using entry_settings = schema::entry_settings_t;

/// Parses INI text. An empty value stands for the default. Unknown sections and keys, wrong types, values out
/// of range and missing needed keys are errors; the reason names `file`, section and key.
std::optional<daemon_settings> parse_settings(std::string_view text, std::string_view file);

/// Reads and parses a file.
std::optional<daemon_settings> load_settings(const std::string& file);

/// The settings page of the docs: a Markdown table per section, from the schema.
std::string settings_reference();

/// As `parse_settings`, for an entry host.
std::optional<entry_settings> parse_entry_settings(std::string_view text, std::string_view file);

/// As `load_settings`, for an entry host.
std::optional<entry_settings> load_entry_settings(const std::string& file);

/// As `settings_reference`, for an entry host.
std::string entry_settings_reference();

} // namespace lycheegap::settings
