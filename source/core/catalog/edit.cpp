#include "edit.h"

#include <algorithm>

#include <fmt/format.h>

#include "core/common/last_reason.h"

namespace lycheegap::catalog {

namespace {

using common::fail;
using common::step;

bool unknown(std::string_view kind, std::string_view name) {
    fail(step::validate, fmt::format("{} {}", kind, name), "does not exist");
    return false;
}

bool apply(configuration& target, const team_template& it) {
    target.templates.insert_or_assign(it.name, it);
    return true;
}

bool apply(configuration& target, const team& it) {
    target.teams.insert_or_assign(it.name, it);
    return true;
}

bool apply(configuration& target, const service& it) {
    target.services.insert_or_assign(it.name, it);
    return true;
}

bool apply(configuration& target, const withdraw_template& it) {
    return target.templates.erase(it.name) > 0 || unknown("template", it.name);
}

bool apply(configuration& target, const withdraw_team& it) {
    return target.teams.erase(it.name) > 0 || unknown("team", it.name);
}

bool apply(configuration& target, const withdraw_service& it) {
    return target.services.erase(it.name) > 0 || unknown("service", it.name);
}

bool apply(configuration& target, const add_key& it) {
    const auto owner = target.teams.find(it.team);
    if (owner == target.teams.end()) {
        return unknown("team", it.team);
    }
    auto& digests = owner->second.key_digests;
    if (std::find(digests.begin(), digests.end(), it.digest) == digests.end()) {
        digests.push_back(it.digest);
    }
    return true;
}

bool apply(configuration& target, const withdraw_key& it) {
    const auto owner = target.teams.find(it.team);
    if (owner == target.teams.end()) {
        return unknown("team", it.team);
    }
    return std::erase(owner->second.key_digests, it.digest) > 0 || unknown("key of team", it.team);
}

} // namespace

std::optional<configuration> apply_edit(const configuration& current, const edit& change) {
    auto next = current;
    if (!std::visit([&](const auto& it) { return apply(next, it); }, change)) {
        return std::nullopt;
    }
    // The index still names the owners before the edit, so that a second team cannot take a key over.
    if (!is_valid(next)) {
        return std::nullopt;
    }
    next.revision = current.revision + 1;
    index_keys(next);
    return next;
}

} // namespace lycheegap::catalog
