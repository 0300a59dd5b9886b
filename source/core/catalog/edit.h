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

/// One change by an operator. A record that is set replaces the one of its name.
using edit = std::variant<team_template, team, service, withdraw_template, withdraw_team, withdraw_service,
                          add_key, withdraw_key>;

/// The configuration after the edit, with the next revision. The reason tells why there is none.
std::optional<configuration> apply_edit(const configuration& current, const edit& change);

} // namespace lycheegap::catalog
