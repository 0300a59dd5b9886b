#pragma once

#include <optional>
#include <string>
#include <variant>

#include "catalog.h"

namespace lycheegap::catalog {

struct withdraw_template {
    std::string name;
};

struct withdraw_team {
    std::string name;
};

struct withdraw_service {
    std::string name;
};

struct add_key {
    std::string team;
    std::string digest;
};

struct withdraw_key {
    std::string team;
    std::string digest;
};

/// Withdraws keys from whichever teams hold them.
struct withdraw_digests {
    std::vector<std::string> digests;
};

/// One change by an operator. A record that is set replaces the one of its name.
using edit = std::variant<team_template, team, service, withdraw_template, withdraw_team, withdraw_service,
                          add_key, withdraw_key, withdraw_digests>;

/// The record that an edit replaces or withdraws.
struct record_name {
    record_kind kind{record_kind::team};
    std::string name;
};

/// Empty for edits of keys: they combine with every other edit.
std::optional<record_name> record_of(const edit& change);

/// Revision of the last edit of a record, also of its withdrawal; 0 when it never was or was withdrawn long
/// ago.
std::uint64_t changed_at(const configuration& current, const record_name& record);

/// The configuration after the edit, with the next revision. The reason tells why there is none.
std::optional<configuration> apply_edit(const configuration& current, const edit& change);

} // namespace lycheegap::catalog
