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

/// Withdraws keys by digest, whichever teams have them.
struct withdraw_digests {
    std::vector<std::string> digests;
};

/// One change by an operator. A template, team or service replaces the record of the same name or adds one.
using edit = std::variant<team_template, team, service, withdraw_template, withdraw_team, withdraw_service,
                          add_key, withdraw_key, withdraw_digests>;

/// Kind and name of a record.
struct record_name {
    record_kind kind{record_kind::team};
    std::string name;
};

/// The record that an edit replaces or withdraws. Empty for edits of keys: a conflict never refuses them.
std::optional<record_name> record_of(const edit& change);

/// Revision of the last edit of a record, its withdrawal included; 0 if it never existed or its tombstone was
/// dropped.
std::uint64_t last_changed_revision(const configuration& current, const record_name& record);

/// The configuration after the edit, with the next revision. Empty if the edit is not valid;
/// `common::last_reason` then tells why.
std::optional<configuration> apply_edit(const configuration& current, const edit& change);

} // namespace lycheegap::catalog
