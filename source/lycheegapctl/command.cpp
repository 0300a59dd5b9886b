#include "command.h"

#include <fstream>
#include <iostream>
#include <iterator>

#include "core/common/digest.h"
#include "core/common/last_reason.h"
#include "core/common/percent_encoding.h"
#include "core/schema/codec.h"

namespace lycheegap::ctl {

namespace {

using common::fail;
using common::step;
using schema::edit_request_t;

template <typename Table, typename Record>
bool read_record_file(const std::string& file, std::unique_ptr<Record>& target) {
    const auto text = read_file(file);
    if (!text) {
        return false;
    }
    auto record = schema::from_json<Table>(*text, file);
    if (!record) {
        return false;
    }
    target = std::make_unique<Record>(std::move(*record));
    return true;
}

bool set_record_edit(edit_request_t& edit, const std::string& kind, const std::string& file) {
    if (kind == "template") {
        return read_record_file<schema::template_record>(file, edit.set_template);
    }
    if (kind == "team") {
        return read_record_file<schema::team_record>(file, edit.set_team);
    }
    if (kind == "service") {
        return read_record_file<schema::service_record>(file, edit.set_service);
    }
    fail(step::decode, kind, "cannot be set");
    return false;
}

bool set_withdraw_edit(edit_request_t& edit, const std::string& kind, const std::string& name) {
    if (kind == "template") {
        edit.withdraw_template = name;
    } else if (kind == "team") {
        edit.withdraw_team = name;
    } else if (kind == "service") {
        edit.withdraw_service = name;
    } else {
        fail(step::decode, kind, "cannot be withdrawn");
        return false;
    }
    return true;
}

bool set_key_edit(edit_request_t& edit, const std::string& verb, const std::string& team,
                  const std::string& key) {
    edit.key_team = team;
    if (verb == "add" || verb == "set") {
        edit.add_key_digest = common::key_digest(key);
        return true;
    }
    if (verb == "withdraw") {
        edit.withdraw_key_digest = common::key_digest(key);
        return true;
    }
    fail(step::decode, verb, "a key can be added or withdrawn");
    return false;
}

bool parse_edit_command(edit_request_t& edit, const std::vector<std::string>& arguments) {
    if (arguments.size() == 4 && arguments[0] == "key") {
        return set_key_edit(edit, arguments[1], arguments[2], arguments[3]);
    }
    if (arguments.size() == 3 && arguments[1] == "set") {
        edit.compare = true;
        return set_record_edit(edit, arguments[0], arguments[2]);
    }
    if (arguments.size() == 3 && arguments[1] == "withdraw") {
        return set_withdraw_edit(edit, arguments[0], arguments[2]);
    }
    fail(step::decode, arguments.empty() ? "" : arguments[0], "unknown command");
    return false;
}

bool is_record_kind(const std::string& word) {
    return word == "template" || word == "team" || word == "service";
}

command make_catalog_query(view_kind view, const std::string& kind, const std::string& name_or_file) {
    return {"/v1/catalog", "", "", view, kind, name_or_file};
}

command make_history_query(const std::string& kind, const std::string& name) {
    auto query = "kind=" + kind + "&name=" + common::percent_encode(name);
    return {"/v1/history", std::move(query), "", view_kind::raw, "", ""};
}

std::optional<command> parse_record_query(const std::vector<std::string>& arguments) {
    const auto& verb = arguments[1];
    if (arguments.size() == 2 && verb == "list") {
        return make_catalog_query(view_kind::list, arguments[0], "");
    }
    if (arguments.size() == 3 && verb == "show") {
        return make_catalog_query(view_kind::show, arguments[0], arguments[2]);
    }
    if (arguments.size() == 3 && verb == "diff") {
        return make_catalog_query(view_kind::diff, arguments[0], arguments[2]);
    }
    if (arguments.size() == 3 && verb == "history") {
        return make_history_query(arguments[0], arguments[2]);
    }
    return std::nullopt;
}

std::optional<command> parse_key_query(const std::vector<std::string>& arguments) {
    if (arguments.size() == 3 && (arguments[1] == "list" || arguments[1] == "show")) {
        return make_catalog_query(view_kind::keys, "team", arguments[2]);
    }
    if (arguments.size() == 3 && arguments[1] == "history") {
        return make_history_query("team", arguments[2]);
    }
    return std::nullopt;
}

std::optional<command> parse_query(const std::vector<std::string>& arguments) {
    if (arguments == std::vector<std::string>{"dump"}) {
        return command{"/v1/dump", "", "", view_kind::raw, "", ""};
    }
    if (arguments == std::vector<std::string>{"metrics"}) {
        return command{"/metrics", "", "", view_kind::raw, "", ""};
    }
    if (arguments == std::vector<std::string>{"catalog", "show"}) {
        return command{"/v1/catalog", "", "", view_kind::raw, "", ""};
    }
    if (arguments.size() == 3 && arguments[0] == "edit" && arguments[1] == "status") {
        return command{"/v1/edit/status",
                       "revision=" + common::percent_encode(arguments[2]),
                       "",
                       view_kind::raw,
                       "",
                       ""};
    }
    if (arguments.size() >= 2 && is_record_kind(arguments[0])) {
        return parse_record_query(arguments);
    }
    return arguments.size() >= 2 && arguments[0] == "key" ? parse_key_query(arguments) : std::nullopt;
}

} // namespace

std::optional<std::string> read_file(const std::string& file) {
    if (file == "-") {
        return std::string(std::istreambuf_iterator<char>(std::cin), {});
    }
    std::ifstream stream(file);
    if (!stream) {
        return fail(step::decode, file, "cannot be opened");
    }
    return std::string(std::istreambuf_iterator<char>(stream), {});
}

std::optional<command> parse_command(const std::vector<std::string>& arguments, const edit_options& options) {
    if (auto query_command = parse_query(arguments)) {
        return query_command;
    }
    edit_request_t edit;
    edit.expected_revision = options.expected_revision;
    if (!parse_edit_command(edit, arguments)) {
        return std::nullopt;
    }
    edit.compare = edit.compare && !options.force;
    return command{"/v1/edit", "", schema::to_json<schema::edit_request>(edit), view_kind::raw, "", ""};
}

std::string usage_text() {
    return "commands:\n"
           "  template|team|service list\n"
           "  template|team|service show NAME    the record as JSON, with the revision that changed it last\n"
           "  template|team|service diff FILE    the lines in which FILE differs from the record\n"
           "  template|team|service set FILE     record it from JSON (- reads stdin); a conflict when the "
           "record\n"
           "                                     was changed since it was shown; --force records it anyhow\n"
           "  template|team|service withdraw NAME\n"
           "  template|team|service history NAME the edits that the asked host remembers\n"
           "  key list|show|history TEAM         digests of the team's keys\n"
           "  key add|set|withdraw TEAM KEY      only the key's digest leaves this program\n"
           "  edit status REVISION               recorded or accepted, and the hosts it waits for\n"
           "  catalog show                       the whole configuration as JSON\n"
           "  dump                               state of the asked host as JSON\n"
           "  metrics                            counters and series of the asked host\n";
}

} // namespace lycheegap::ctl
