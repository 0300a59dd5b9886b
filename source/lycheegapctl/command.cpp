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
    if (verb == "add") {
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
        return fill_set(edit, words[0], words[2]);
    }
    if (words.size() == 3 && words[1] == "withdraw") {
        return fill_withdraw(edit, words[0], words[2]);
    }
    fail(step::decode, words.empty() ? "" : words[0], "unknown command");
    return false;
}

} // namespace

std::optional<command> parse_command(const std::vector<std::string>& words, std::uint64_t expected_revision) {
    if (words == std::vector<std::string>{"dump"}) {
        return command{"/v1/dump", {}};
    }
    if (words == std::vector<std::string>{"metrics"}) {
        return command{"/metrics", {}};
    }
    if (words == std::vector<std::string>{"catalog", "show"}) {
        return command{"/v1/catalog", {}};
    }
    edit_request_t edit;
    edit.expected_revision = expected_revision;
    if (!fill_edit(edit, words)) {
        return std::nullopt;
    }
    return command{"/v1/edit", schema::to_json<schema::edit_request>(edit)};
}

std::string usage_text() {
    return "commands:\n"
           "  template|team|service set FILE     record a template, team or service from JSON (- reads "
           "stdin)\n"
           "  template|team|service withdraw NAME\n"
           "  key add|withdraw TEAM KEY          only the key's digest leaves this program\n"
           "  catalog show                       the whole configuration as JSON\n"
           "  dump                               state of the asked host as JSON\n"
           "  metrics                            counters and series of the asked host\n";
}

} // namespace lycheegap::ctl
