#include "edit.h"

#include <algorithm>

#include <fmt/format.h>

#include "core/common/last_reason.h"

namespace lycheegap::catalog {

namespace {

using common::fail;
using common::step;

constexpr std::size_t max_withdrawn_digests = 2000;
constexpr std::size_t max_tombstones = 200;

bool reject_missing(std::string_view kind, std::string_view name) {
    fail(step::validate, fmt::format("{} {}", kind, name), "does not exist");
    return false;
}

std::string_view kind_name(record_kind kind) {
    switch (kind) {
    case record_kind::team_template:
        return "template";
    case record_kind::service:
        return "service";
    case record_kind::team:
        break;
    }
    return "team";
}

template <typename Value>
void drop_oldest(std::vector<Value>& values, std::size_t limit) {
    if (values.size() > limit) {
        values.erase(values.begin(), values.end() - static_cast<std::ptrdiff_t>(limit));
    }
}

template <typename Records>
bool erase_record(configuration& target, Records& records, const record_name& record) {
    if (records.erase(record.name) == 0) {
        return reject_missing(kind_name(record.kind), record.name);
    }
    target.tombstones.push_back({record.kind, record.name, target.revision});
    drop_oldest(target.tombstones, max_tombstones);
    return true;
}

template <typename Records>
std::uint64_t last_change_in(const Records& records, std::string_view name) {
    const auto it = records.find(name);
    return it == records.end() ? 0 : it->second.changed;
}

void record_withdrawn_key(configuration& target, const std::string& digest) {
    auto& withdrawn = target.withdrawn_digests;
    if (std::find(withdrawn.begin(), withdrawn.end(), digest) == withdrawn.end()) {
        withdrawn.push_back(digest);
        drop_oldest(withdrawn, max_withdrawn_digests);
    }
}

bool apply(configuration& target, const team_template& it) {
    target.templates.insert_or_assign(it.name, it).first->second.changed = target.revision;
    return true;
}

bool apply(configuration& target, const team& it) {
    target.teams.insert_or_assign(it.name, it).first->second.changed = target.revision;
    return true;
}

bool apply(configuration& target, const service& it) {
    target.services.insert_or_assign(it.name, it).first->second.changed = target.revision;
    return true;
}

bool apply(configuration& target, const withdraw_template& it) {
    return erase_record(target, target.templates, {record_kind::team_template, it.name});
}

bool apply(configuration& target, const withdraw_team& it) {
    return erase_record(target, target.teams, {record_kind::team, it.name});
}

bool apply(configuration& target, const withdraw_service& it) {
    return erase_record(target, target.services, {record_kind::service, it.name});
}

bool apply(configuration& target, const add_key& it) {
    const auto owner = target.teams.find(it.team);
    if (owner == target.teams.end()) {
        return reject_missing("team", it.team);
    }
    auto& digests = owner->second.key_digests;
    if (std::find(digests.begin(), digests.end(), it.digest) == digests.end()) {
        digests.push_back(it.digest);
        owner->second.changed = target.revision;
    }
    return true;
}

bool apply(configuration& target, const withdraw_key& it) {
    const auto owner = target.teams.find(it.team);
    if (owner == target.teams.end()) {
        return reject_missing("team", it.team);
    }
    if (std::erase(owner->second.key_digests, it.digest) == 0) {
        return reject_missing("key of team", it.team);
    }
    owner->second.changed = target.revision;
    record_withdrawn_key(target, it.digest);
    return true;
}

bool apply(configuration& target, const withdraw_digests& it) {
    for (const auto& digest : it.digests) {
        for (auto& [name, owner] : target.teams) {
            if (std::erase(owner.key_digests, digest) > 0) {
                owner.changed = target.revision;
            }
        }
        record_withdrawn_key(target, digest);
    }
    return true;
}

struct edited_record {
    std::optional<record_name> operator()(const team_template& it) const {
        return record_name{record_kind::team_template, it.name};
    }

    std::optional<record_name> operator()(const team& it) const {
        return record_name{record_kind::team, it.name};
    }

    std::optional<record_name> operator()(const service& it) const {
        return record_name{record_kind::service, it.name};
    }

    std::optional<record_name> operator()(const withdraw_template& it) const {
        return record_name{record_kind::team_template, it.name};
    }

    std::optional<record_name> operator()(const withdraw_team& it) const {
        return record_name{record_kind::team, it.name};
    }

    std::optional<record_name> operator()(const withdraw_service& it) const {
        return record_name{record_kind::service, it.name};
    }

    template <typename Other>
    std::optional<record_name> operator()(const Other& /*edit of keys*/) const {
        return std::nullopt;
    }
};

} // namespace

std::optional<record_name> record_of(const edit& change) {
    return std::visit(edited_record{}, change);
}

std::uint64_t last_changed_revision(const configuration& current, const record_name& record) {
    std::uint64_t changed = 0;
    switch (record.kind) {
    case record_kind::team_template:
        changed = last_change_in(current.templates, record.name);
        break;
    case record_kind::team:
        changed = last_change_in(current.teams, record.name);
        break;
    case record_kind::service:
        changed = last_change_in(current.services, record.name);
        break;
    }
    for (const auto& it : current.tombstones) {
        if (it.kind == record.kind && it.name == record.name) {
            changed = std::max(changed, it.revision);
        }
    }
    return changed;
}

std::optional<configuration> apply_edit(const configuration& current, const edit& change) {
    auto next = current;
    next.revision = current.revision + 1;
    if (!std::visit([&](const auto& it) { return apply(next, it); }, change)) {
        return std::nullopt;
    }
    // The key index is rebuilt only after this check: with the owners before the edit, the check finds a key
    // that belongs to another team.
    if (!is_valid(next)) {
        return std::nullopt;
    }
    index_keys(next);
    return next;
}

} // namespace lycheegap::catalog
