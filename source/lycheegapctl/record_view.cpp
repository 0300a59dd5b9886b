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

// One field or value a line, so that a diff names what changed.
std::string one_value_per_line(std::string_view json) {
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
std::optional<std::string> show_one(const std::vector<std::unique_ptr<Record>>& records,
                                    const command& asked) {
    const auto* found = find_record(records, asked.subject);
    if (found == nullptr) {
        return fail(step::validate, asked.subject, "does not exist");
    }
    return schema::to_json<Table>(*found) + '\n';
}

template <typename Table, typename Record>
std::optional<std::string> diff_one(const std::vector<std::unique_ptr<Record>>& records,
                                    const command& asked) {
    const auto text = read_file(asked.subject);
    auto wanted = text ? schema::from_json<Table>(*text, asked.subject) : std::nullopt;
    if (!wanted) {
        return std::nullopt;
    }
    const auto* found = find_record(records, wanted->name);
    wanted->changed = found == nullptr ? 0 : found->changed;
    const auto before = found == nullptr ? std::string() : one_value_per_line(schema::to_json<Table>(*found));
    return line_diff(before, one_value_per_line(schema::to_json<Table>(*wanted)));
}

template <typename Table, typename Record>
std::optional<std::string> view(const std::vector<std::unique_ptr<Record>>& records, const command& asked) {
    switch (asked.view) {
    case view_kind::list:
        return list_names(records);
    case view_kind::diff:
        return diff_one<Table>(records, asked);
    default:
        return show_one<Table>(records, asked);
    }
}

std::optional<std::string> show_keys(const schema::catalog_record_t& catalog, const command& asked) {
    const auto* team = find_record(catalog.teams, asked.subject);
    if (team == nullptr) {
        return fail(step::validate, asked.subject, "does not exist");
    }
    std::string lines;
    for (const auto& it : team->key_digests) {
        lines += it + '\n';
    }
    return lines;
}

} // namespace

std::optional<std::string> show_records(const command& asked, std::string_view catalog_json) {
    const auto catalog = schema::from_json<schema::catalog_record>(catalog_json, "host");
    if (!catalog) {
        return std::nullopt;
    }
    if (asked.view == view_kind::keys) {
        return show_keys(*catalog, asked);
    }
    if (asked.kind == "template") {
        return view<schema::template_record>(catalog->templates, asked);
    }
    if (asked.kind == "team") {
        return view<schema::team_record>(catalog->teams, asked);
    }
    return view<schema::service_record>(catalog->services, asked);
}

std::string line_diff(std::string_view before, std::string_view after) {
    const auto old_lines = split_lines(before);
    const auto new_lines = split_lines(after);
    std::string changed;
    for (const auto& it : old_lines) {
        if (std::find(new_lines.begin(), new_lines.end(), it) == new_lines.end()) {
            changed += "- " + it + '\n';
        }
    }
    for (const auto& it : new_lines) {
        if (std::find(old_lines.begin(), old_lines.end(), it) == old_lines.end()) {
            changed += "+ " + it + '\n';
        }
    }
    return changed;
}

} // namespace lycheegap::ctl
