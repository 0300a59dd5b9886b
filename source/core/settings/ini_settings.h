#pragma once

#include <optional>
#include <string>
#include <string_view>

#include "core/schema/generated/entry_settings_generated.h"

namespace lycheegap::settings {

/// Settings of lycheegapd as declared in schema/settings.fbs. After parsing, every section is present.
using daemon_settings = schema::daemon_settings_t;

/// Settings of the platform's entry host as declared in schema/entry_settings.fbs. After parsing, every
/// section is present.
using entry_settings = schema::entry_settings_t;

/// Parses INI text. An empty value selects the default. Syntax errors, unknown sections and keys, wrong
/// types, values out of range and missing required keys are errors. The last reason names `file`
/// with the line (syntax errors) or with section and key.
std::optional<daemon_settings> parse_settings(std::string_view text, std::string_view file);

/// Reads a file and parses it with `parse_settings`.
std::optional<daemon_settings> load_settings(const std::string& file);

/// Reference of all settings in Markdown, generated from the schema: one table per section.
std::string settings_reference();

/// Like `parse_settings`, for `entry_settings`.
std::optional<entry_settings> parse_entry_settings(std::string_view text, std::string_view file);

/// Like `load_settings`, for `entry_settings`.
std::optional<entry_settings> load_entry_settings(const std::string& file);

/// Like `settings_reference`, for `entry_settings`.
std::string entry_settings_reference();

} // namespace lycheegap::settings
