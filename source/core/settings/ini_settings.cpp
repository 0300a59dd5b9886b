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

const reflection::Schema& schema_data() {
    return *reflection::GetSchema(schema::schema_rootBinarySchema::data());
}

const reflection::Object* find_object(std::string_view name) {
    return schema_data().objects()->LookupByKey(std::string(name).c_str());
}

/// Value of a field's attribute in the schema, empty when it has none.
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

std::string place(std::string_view file, std::string_view section, std::string_view key) {
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

/// Checks a number with fractions against the schema's bounds and returns its JSON.
std::optional<std::string> real_json(const reflection::Field& field, std::string_view text,
                                     std::string_view where) {
    const auto value = parse_real(text);
    if (!value) {
        return fail(step::check_settings, where, fmt::format("'{}' is not a number", text));
    }
    const auto least = parse_real(attribute(field, "min")).value_or(0);
    const auto most = parse_real(attribute(field, "max")).value_or(std::numeric_limits<double>::max());
    if (!(*value >= least && *value <= most)) {
        return fail(step::check_settings, where, fmt::format("{} is outside {} to {}", *value, least, most));
    }
    return fmt::format("{}", *value);
}

/// Checks a whole number against the schema's bounds and returns its JSON.
std::optional<std::string> number_json(const reflection::Field& field, std::string_view text,
                                       std::string_view where) {
    const auto value = parse_integer(text);
    if (!value) {
        return fail(step::check_settings, where, fmt::format("'{}' is not a whole number", text));
    }
    const auto least = parse_integer(attribute(field, "min")).value_or(0);
    const auto most = parse_integer(attribute(field, "max")).value_or(INT64_MAX);
    if (*value < least || *value > most) {
        return fail(step::check_settings, where, fmt::format("{} is outside {} to {}", *value, least, most));
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
    return number_json(field, text, where);
}

const reflection::Object& section_object(const reflection::Field& section) {
    return *schema_data().objects()->Get(static_cast<flatbuffers::uoffset_t>(section.type()->index()));
}

bool lacks_needed_key(const reflection::Object& object, const ptree& keys, std::string& missing) {
    for (const auto* field : *object.fields()) {
        const auto name = field->name()->str();
        if (has_attribute(*field, "needed") && keys.get(name, std::string()).empty()) {
            missing = name;
            return true;
        }
    }
    return false;
}

std::optional<std::string> section_json(const reflection::Field& section, const ptree& keys,
                                        std::string_view file) {
    const auto& object = section_object(section);
    const auto section_name = section.name()->string_view();
    std::string json;
    for (const auto& [key, node] : keys) {
        const auto where = place(file, section_name, key);
        const auto* field = object.fields()->LookupByKey(key.c_str());
        if (field == nullptr) {
            return fail(step::check_settings, where, "unknown key");
        }
        // A template writes an empty value where the platform states none.
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
    if (lacks_needed_key(object, keys, missing)) {
        return fail(step::check_settings, place(file, section_name, missing), "needed key is missing");
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

std::optional<std::string> settings_json(std::string_view root_type, std::string_view text,
                                         std::string_view file) {
    const auto read = read_ini(text, file);
    if (!read) {
        return std::nullopt;
    }
    const auto& tree = *read;
    const auto& root = *find_object(root_type);
    for (const auto& [name, keys] : tree) {
        if (!keys.data().empty()) {
            return fail(step::check_settings, place(file, "", name), "key outside a section");
        }
        if (root.fields()->LookupByKey(name.c_str()) == nullptr) {
            return fail(step::check_settings, place(file, name, ""), "unknown section");
        }
    }
    std::string json;
    for (const auto* section : *root.fields()) {
        const auto keys = tree.get_child(section->name()->str(), ptree());
        const auto part = section_json(*section, keys, file);
        if (!part) {
            return std::nullopt;
        }
        json += fmt::format("{}\"{}\":{}", json.empty() ? "" : ",", section->name()->str(), *part);
    }
    return "{" + json + "}";
}

bool is_ip_number(const std::string& text) {
    in_addr parsed{};
    return inet_pton(AF_INET, text.c_str(), &parsed) == 1;
}

/// Checks what the schema cannot express about the sections that all programs have.
template <typename Settings>
std::optional<Settings> check_values(Settings parsed, std::string_view file) {
    if (!is_ip_number(parsed.host->address)) {
        return fail(step::check_settings, place(file, "host", "address"),
                    fmt::format("'{}' is not an IP number", parsed.host->address));
    }
    auto& level = parsed.process->log_level;
    if (level.empty()) {
        level = "info";
    }
    if (level != "debug" && level != "info" && level != "warn" && level != "error") {
        return fail(step::check_settings, place(file, "process", "log_level"),
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

std::string reference_row(const reflection::Field& field) {
    const auto least = attribute(field, "min");
    const auto range = least.empty() ? std::string() : least + " to " + attribute(field, "max");
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

std::string reference_of(std::string_view root_type) {
    std::string page;
    for (const auto* section : *find_object(root_type)->fields()) {
        const auto& object = section_object(*section);
        page +=
            fmt::format("## [{}]\n\n{}\n\n", section->name()->str(), documentation(object.documentation()));
        page += "| Key | Default | Range | Unit | Meaning |\n| --- | --- | --- | --- | --- |\n";
        for (const auto* field : *object.fields()) {
            page += reference_row(*field);
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
    return reference_of(schema::daemon_settings::GetFullyQualifiedName());
}

std::optional<entry_settings> parse_entry_settings(std::string_view text, std::string_view file) {
    return parse_as<schema::entry_settings>(text, file);
}

std::optional<entry_settings> load_entry_settings(const std::string& file) {
    const auto text = read_file(file);
    return text ? parse_entry_settings(*text, file) : std::nullopt;
}

std::string entry_settings_reference() {
    return reference_of(schema::entry_settings::GetFullyQualifiedName());
}

} // namespace lycheegap::settings
