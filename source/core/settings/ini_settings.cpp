#include "ini_settings.h"

#include <charconv>
#include <fstream>
#include <limits>
#include <sstream>

#include <arpa/inet.h>
#include <boost/property_tree/ini_parser.hpp>
#include <boost/property_tree/ptree.hpp>
#include <fmt/format.h>

#include "core/schema/codec.h"
#include "core/schema/generated/all_bfbs_generated.h"
#include "flatbuffers/reflection.h"
#include "flatbuffers/util.h"

namespace lycheegap::settings {

namespace {

using boost::property_tree::ptree;
using common::fail;
using common::step;

const reflection::Schema& reflection_schema() {
    return *reflection::GetSchema(schema::schema_rootBinarySchema::data());
}

const reflection::Object* find_object(std::string_view name) {
    return reflection_schema().objects()->LookupByKey(std::string(name).c_str());
}

/// Value of a schema attribute of a field. Empty when the field does not have the attribute.
std::string attribute(const reflection::Field& field, const char* name) {
    if (field.attributes() == nullptr) {
        return {};
    }
    const auto* found = field.attributes()->LookupByKey(name);
    return found == nullptr || found->value() == nullptr ? std::string() : found->value()->str();
}

bool has_attribute(const reflection::Field& field, const char* name) {
    return field.attributes() != nullptr && field.attributes()->LookupByKey(name) != nullptr;
}

/// Location of a setting for error messages; section or key may be empty.
std::string setting_location(std::string_view file, std::string_view section, std::string_view key) {
    return fmt::format("{}: [{}] {}", file, section, key);
}

std::optional<std::int64_t> parse_integer(std::string_view text) {
    std::int64_t value = 0;
    const auto result = std::from_chars(text.data(), text.data() + text.size(), value);
    if (result.ec != std::errc() || result.ptr != text.data() + text.size()) {
        return std::nullopt;
    }
    return value;
}

bool is_real(const reflection::Field& field) {
    return field.type()->base_type() == reflection::Double;
}

std::optional<double> parse_real(std::string_view text) {
    double value = 0;
    const auto result = std::from_chars(text.data(), text.data() + text.size(), value);
    if (result.ec != std::errc() || result.ptr != text.data() + text.size()) {
        return std::nullopt;
    }
    return value;
}

/// Checks a floating-point setting against the bounds in the schema and returns it as JSON.
std::optional<std::string> real_json(const reflection::Field& field, std::string_view text,
                                     std::string_view where) {
    const auto value = parse_real(text);
    if (!value) {
        return fail(step::check_settings, where, fmt::format("'{}' is not a number", text));
    }
    const auto minimum = parse_real(attribute(field, "min")).value_or(0);
    const auto maximum = parse_real(attribute(field, "max")).value_or(std::numeric_limits<double>::max());
    if (!(*value >= minimum && *value <= maximum)) {
        return fail(step::check_settings, where,
                    fmt::format("{} is outside {} to {}", *value, minimum, maximum));
    }
    return fmt::format("{}", *value);
}

/// Checks an integer setting against the bounds in the schema and returns it as JSON.
std::optional<std::string> integer_json(const reflection::Field& field, std::string_view text,
                                        std::string_view where) {
    const auto value = parse_integer(text);
    if (!value) {
        return fail(step::check_settings, where, fmt::format("'{}' is not a whole number", text));
    }
    const auto minimum = parse_integer(attribute(field, "min")).value_or(0);
    const auto maximum = parse_integer(attribute(field, "max")).value_or(INT64_MAX);
    if (*value < minimum || *value > maximum) {
        return fail(step::check_settings, where,
                    fmt::format("{} is outside {} to {}", *value, minimum, maximum));
    }
    return std::to_string(*value);
}

std::string string_json(std::string_view text) {
    std::string out;
    flatbuffers::EscapeString(text.data(), text.size(), &out, true, false);
    return out;
}

std::optional<std::string> value_json(const reflection::Field& field, std::string_view text,
                                      std::string_view where) {
    if (field.type()->base_type() == reflection::String) {
        return string_json(text);
    }
    if (is_real(field)) {
        return real_json(field, text, where);
    }
    return integer_json(field, text, where);
}

const reflection::Object& section_object(const reflection::Field& section) {
    return *reflection_schema().objects()->Get(static_cast<flatbuffers::uoffset_t>(section.type()->index()));
}

/// Whether a key with the attribute `needed` is absent or empty; `missing` receives the name of the first
/// one.
bool find_missing_key(const reflection::Object& object, const ptree& entries, std::string& missing) {
    for (const auto* field : *object.fields()) {
        const auto name = field->name()->str();
        if (has_attribute(*field, "needed") && entries.get(name, std::string()).empty()) {
            missing = name;
            return true;
        }
    }
    return false;
}

std::optional<std::string> section_json(const reflection::Field& section, const ptree& entries,
                                        std::string_view file) {
    const auto& object = section_object(section);
    const auto section_name = section.name()->string_view();
    std::string json;
    for (const auto& [key, node] : entries) {
        const auto where = setting_location(file, section_name, key);
        const auto* field = object.fields()->LookupByKey(key.c_str());
        if (field == nullptr) {
            return fail(step::check_settings, where, "unknown key");
        }
        // Templates of settings files leave the value empty where the platform does not provide one.
        if (node.data().empty()) {
            continue;
        }
        const auto value = value_json(*field, node.data(), where);
        if (!value) {
            return std::nullopt;
        }
        json += fmt::format("{}\"{}\":{}", json.empty() ? "" : ",", key, *value);
    }
    std::string missing;
    if (find_missing_key(object, entries, missing)) {
        return fail(step::check_settings, setting_location(file, section_name, missing),
                    "needed key is missing");
    }
    return "{" + json + "}";
}

std::optional<ptree> read_ini(std::string_view text, std::string_view file) {
    ptree tree;
    std::istringstream stream{std::string(text)};
    try {
        boost::property_tree::read_ini(stream, tree);
    } catch (const boost::property_tree::ini_parser_error& ec) {
        return fail(step::read_settings, file, fmt::format("line {}: {}", ec.line(), ec.message()));
    }
    return tree;
}

/// Converts INI text to JSON of the table `root_type`, with every section present.
std::optional<std::string> settings_json(std::string_view root_type, std::string_view text,
                                         std::string_view file) {
    const auto read = read_ini(text, file);
    if (!read) {
        return std::nullopt;
    }
    const auto& tree = *read;
    const auto& root = *find_object(root_type);
    for (const auto& [name, entries] : tree) {
        if (!entries.data().empty()) {
            return fail(step::check_settings, setting_location(file, "", name), "key outside a section");
        }
        if (root.fields()->LookupByKey(name.c_str()) == nullptr) {
            return fail(step::check_settings, setting_location(file, name, ""), "unknown section");
        }
    }
    std::string json;
    for (const auto* section : *root.fields()) {
        const auto entries = tree.get_child(section->name()->str(), ptree());
        const auto object_json = section_json(*section, entries, file);
        if (!object_json) {
            return std::nullopt;
        }
        json += fmt::format("{}\"{}\":{}", json.empty() ? "" : ",", section->name()->str(), *object_json);
    }
    return "{" + json + "}";
}

bool is_ipv4_address(const std::string& text) {
    in_addr parsed{};
    return inet_pton(AF_INET, text.c_str(), &parsed) == 1;
}

/// Checks the constraints of the host and process sections that the schema cannot express. An empty log level
/// is replaced by the default.
template <typename Settings>
std::optional<Settings> check_values(Settings parsed, std::string_view file) {
    if (!is_ipv4_address(parsed.host->address)) {
        return fail(step::check_settings, setting_location(file, "host", "address"),
                    fmt::format("'{}' is not an IP number", parsed.host->address));
    }
    auto& level = parsed.process->log_level;
    if (level.empty()) {
        level = "info";
    }
    if (level != "debug" && level != "info" && level != "warn" && level != "error") {
        return fail(step::check_settings, setting_location(file, "process", "log_level"),
                    fmt::format("'{}' is none of debug, info, warn, error", level));
    }
    return parsed;
}

std::string default_text(const reflection::Field& field) {
    if (has_attribute(field, "needed")) {
        return "(needed)";
    }
    if (field.type()->base_type() == reflection::String) {
        return "";
    }
    return is_real(field) ? fmt::format("{}", field.default_real()) : std::to_string(field.default_integer());
}

/// Joins the lines of a doc comment in the schema.
std::string documentation(const flatbuffers::Vector<flatbuffers::Offset<flatbuffers::String>>* lines) {
    std::string text;
    if (lines == nullptr) {
        return text;
    }
    for (const auto* it : *lines) {
        text += it->str();
    }
    return text.empty() ? text : text.substr(text.find_first_not_of(' '));
}

std::string markdown_row(const reflection::Field& field) {
    const auto minimum = attribute(field, "min");
    const auto range = minimum.empty() ? std::string() : minimum + " to " + attribute(field, "max");
    return fmt::format("| `{}` | {} | {} | {} | {} |\n", field.name()->str(), default_text(field), range,
                       attribute(field, "unit"), documentation(field.documentation()));
}

template <typename Table>
std::optional<typename Table::NativeTableType> parse_as(std::string_view text, std::string_view file) {
    const auto json = settings_json(Table::GetFullyQualifiedName(), text, file);
    if (!json) {
        return std::nullopt;
    }
    auto parsed = schema::from_json<Table>(*json, file);
    if (!parsed) {
        return std::nullopt;
    }
    return check_values(std::move(*parsed), file);
}

std::optional<std::string> read_file(const std::string& file) {
    std::ifstream stream(file);
    if (!stream) {
        return fail(step::read_settings, file, "cannot be opened");
    }
    std::ostringstream text;
    text << stream.rdbuf();
    return text.str();
}

std::string markdown_reference(std::string_view root_type) {
    std::string page;
    for (const auto* section : *find_object(root_type)->fields()) {
        const auto& object = section_object(*section);
        page +=
            fmt::format("## [{}]\n\n{}\n\n", section->name()->str(), documentation(object.documentation()));
        page += "| Key | Default | Range | Unit | Meaning |\n| --- | --- | --- | --- | --- |\n";
        for (const auto* field : *object.fields()) {
            page += markdown_row(*field);
        }
        page += "\n";
    }
    return page;
}

} // namespace

std::optional<daemon_settings> parse_settings(std::string_view text, std::string_view file) {
    return parse_as<schema::daemon_settings>(text, file);
}

std::optional<daemon_settings> load_settings(const std::string& file) {
    const auto text = read_file(file);
    return text ? parse_settings(*text, file) : std::nullopt;
}

std::string settings_reference() {
    return markdown_reference(schema::daemon_settings::GetFullyQualifiedName());
}

std::optional<entry_settings> parse_entry_settings(std::string_view text, std::string_view file) {
    return parse_as<schema::entry_settings>(text, file);
}

std::optional<entry_settings> load_entry_settings(const std::string& file) {
    const auto text = read_file(file);
    return text ? parse_entry_settings(*text, file) : std::nullopt;
}

std::string entry_settings_reference() {
    return markdown_reference(schema::entry_settings::GetFullyQualifiedName());
}

} // namespace lycheegap::settings
