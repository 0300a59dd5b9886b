#include "record_view.h"

#include <algorithm>
#include <sstream>
#include <vector>

#include "core/common/last_reason.h"
#include "core/schema/codec.h"
#include "core/schema/generated/catalog_generated.h"

namespace lycheegap::ctl {

namespace {

using common::fail;
using common::step;

// Breaks JSON into one field or value per line, so that a line diff shows which of them changed.
std::string break_lines_at_values(std::string_view json) {
    std::string lines;
    bool quoted = false;
    for (std::size_t n = 0; n < json.size(); ++n) {
        const char c = json[n];
        quoted = quoted != (c == '"' && (n == 0 || json[n - 1] != '\\'));
        lines += c;
        if (!quoted && (c == ',' || c == '{' || c == '[')) {
            lines += '\n';
        }
    }
    return lines + '\n';
}

std::vector<std::string> split_lines(std::string_view text) {
    std::istringstream stream{std::string(text)};
    std::vector<std::string> lines;
    for (std::string line; std::getline(stream, line);) {
        lines.push_back(line);
    }
    return lines;
}

template <typename Record>
const Record* find_record(const std::vector<std::unique_ptr<Record>>& records, std::string_view name) {
    for (const auto& it : records) {
        if (it->name == name) {
            return it.get();
        }
    }
    return nullptr;
}

template <typename Records>
std::string list_names(const Records& records) {
    std::string names;
    for (const auto& it : records) {
        names += it->name + '\n';
    }
    return names;
}

template <typename Table, typename Record>
std::optional<std::string> show_record(const std::vector<std::unique_ptr<Record>>& records,
                                       const command& request) {
    const auto* current = find_record(records, request.name_or_file);
    if (current == nullptr) {
        return fail(step::validate, request.name_or_file, "does not exist");
    }
    return schema::to_json<Table>(*current) + '\n';
}

template <typename Table, typename Record>
std::optional<std::string> diff_record(const std::vector<std::unique_ptr<Record>>& records,
                                       const command& request) {
    const auto text = read_file(request.name_or_file);
    auto new_record = text ? schema::from_json<Table>(*text, request.name_or_file) : std::nullopt;
    if (!new_record) {
        return std::nullopt;
    }
    const auto* current = find_record(records, new_record->name);
    new_record->changed = current == nullptr ? 0 : current->changed;
    const auto before =
        current == nullptr ? std::string() : break_lines_at_values(schema::to_json<Table>(*current));
    return line_diff(before, break_lines_at_values(schema::to_json<Table>(*new_record)));
}

template <typename Table, typename Record>
std::optional<std::string> render_records(const std::vector<std::unique_ptr<Record>>& records,
                                          const command& request) {
    switch (request.view) {
    case view_kind::list:
        return list_names(records);
    case view_kind::diff:
        return diff_record<Table>(records, request);
    default:
        return show_record<Table>(records, request);
    }
}

std::optional<std::string> list_key_digests(const schema::catalog_record_t& catalog, const command& request) {
    const auto* team = find_record(catalog.teams, request.name_or_file);
    if (team == nullptr) {
        return fail(step::validate, request.name_or_file, "does not exist");
    }
    std::string lines;
    for (const auto& it : team->key_digests) {
        lines += it + '\n';
    }
    return lines;
}

} // namespace

std::optional<std::string> show_records(const command& request, std::string_view catalog_json) {
    const auto catalog = schema::from_json<schema::catalog_record>(catalog_json, "host");
    if (!catalog) {
        return std::nullopt;
    }
    if (request.view == view_kind::keys) {
        return list_key_digests(*catalog, request);
    }
    if (request.kind == "template") {
        return render_records<schema::template_record>(catalog->templates, request);
    }
    if (request.kind == "team") {
        return render_records<schema::team_record>(catalog->teams, request);
    }
    return render_records<schema::service_record>(catalog->services, request);
}

std::string line_diff(std::string_view before, std::string_view after) {
    const auto old_lines = split_lines(before);
    const auto new_lines = split_lines(after);
    std::string difference;
    for (const auto& it : old_lines) {
        if (std::find(new_lines.begin(), new_lines.end(), it) == new_lines.end()) {
            difference += "- " + it + '\n';
        }
    }
    for (const auto& it : new_lines) {
        if (std::find(old_lines.begin(), old_lines.end(), it) == old_lines.end()) {
            difference += "+ " + it + '\n';
        }
    }
    return difference;
}

} // namespace lycheegap::ctl
