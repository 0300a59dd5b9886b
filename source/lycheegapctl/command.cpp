#include "command.h"

#include <fstream>
#include <iostream>
#include <iterator>

#include "core/common/digest.h"
#include "core/common/last_reason.h"
#include "core/schema/codec.h"

namespace lycheegap::ctl {

namespace {

using common::fail;
using common::step;
using schema::edit_request_t;

template <typename Table, typename Record>
bool read_record(const std::string& file, std::unique_ptr<Record>& target) {
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

bool fill_set(edit_request_t& edit, const std::string& kind, const std::string& file) {
    if (kind == "template") {
        return read_record<schema::template_record>(file, edit.set_template);
    }
    if (kind == "team") {
        return read_record<schema::team_record>(file, edit.set_team);
    }
    if (kind == "service") {
        return read_record<schema::service_record>(file, edit.set_service);
    }
    fail(step::decode, kind, "cannot be set");
    return false;
}

bool fill_withdraw(edit_request_t& edit, const std::string& kind, const std::string& name) {
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

bool fill_key(edit_request_t& edit, const std::string& verb, const std::string& team,
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

bool fill_edit(edit_request_t& edit, const std::vector<std::string>& words) {
    if (words.size() == 4 && words[0] == "key") {
        return fill_key(edit, words[1], words[2], words[3]);
    }
    if (words.size() == 3 && words[1] == "set") {
        edit.compare = true;
        return fill_set(edit, words[0], words[2]);
    }
    if (words.size() == 3 && words[1] == "withdraw") {
        return fill_withdraw(edit, words[0], words[2]);
    }
    fail(step::decode, words.empty() ? "" : words[0], "unknown command");
    return false;
}

bool is_kind(const std::string& word) {
    return word == "template" || word == "team" || word == "service";
}

command ask_catalog(view_kind view, const std::string& kind, const std::string& subject) {
    return {"/v1/catalog", "", "", view, kind, subject};
}

std::optional<command> parse_record_question(const std::vector<std::string>& words) {
    const auto& verb = words[1];
    if (words.size() == 2 && verb == "list") {
        return ask_catalog(view_kind::list, words[0], "");
    }
    if (words.size() == 3 && verb == "show") {
        return ask_catalog(view_kind::show, words[0], words[2]);
    }
    if (words.size() == 3 && verb == "diff") {
        return ask_catalog(view_kind::diff, words[0], words[2]);
    }
    if (words.size() == 3 && verb == "history") {
        return command{
            "/v1/history", "kind=" + words[0] + "&name=" + words[2], "", view_kind::answer, "", ""};
    }
    return std::nullopt;
}

std::optional<command> parse_key_question(const std::vector<std::string>& words) {
    if (words.size() == 3 && (words[1] == "list" || words[1] == "show")) {
        return ask_catalog(view_kind::keys, "team", words[2]);
    }
    if (words.size() == 3 && words[1] == "history") {
        return command{"/v1/history", "kind=team&name=" + words[2], "", view_kind::answer, "", ""};
    }
    return std::nullopt;
}

std::optional<command> parse_question(const std::vector<std::string>& words) {
    if (words == std::vector<std::string>{"dump"}) {
        return command{"/v1/dump", "", "", view_kind::answer, "", ""};
    }
    if (words == std::vector<std::string>{"metrics"}) {
        return command{"/metrics", "", "", view_kind::answer, "", ""};
    }
    if (words == std::vector<std::string>{"catalog", "show"}) {
        return command{"/v1/catalog", "", "", view_kind::answer, "", ""};
    }
    if (words.size() == 3 && words[0] == "edit" && words[1] == "status") {
        return command{"/v1/edit/status", "revision=" + words[2], "", view_kind::answer, "", ""};
    }
    if (words.size() >= 2 && is_kind(words[0])) {
        return parse_record_question(words);
    }
    return words.size() >= 2 && words[0] == "key" ? parse_key_question(words) : std::nullopt;
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

std::optional<command> parse_command(const std::vector<std::string>& words, const edit_options& options) {
    if (auto question = parse_question(words)) {
        return question;
    }
    edit_request_t edit;
    edit.expected_revision = options.expected_revision;
    if (!fill_edit(edit, words)) {
        return std::nullopt;
    }
    edit.compare = edit.compare && !options.force;
    return command{"/v1/edit", "", schema::to_json<schema::edit_request>(edit), view_kind::answer, "", ""};
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
