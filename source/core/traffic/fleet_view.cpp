#include "fleet_view.h"

#include <algorithm>
#include <utility>

namespace lycheegap::traffic {

namespace {

void refresh(fleet_view& view, std::string_view own_host) {
    view.names.clear();
    for (const auto& [name, it] : view.members) {
        view.names.push_back(name);
    }
    view.own_caller_share = expected_caller_share(view.members, own_host);
}

void insert_member(fleet_view& view, member_change change, std::string_view own_host,
                   common::time_point now) {
    if (change.name == own_host && !view.member_since) {
        view.member_since = now;
    }
    std::erase_if(view.former, [&](const auto& it) { return it.name == change.name; });
    std::erase_if(view.departed, [&](const auto& it) { return it.entry.name == change.name; });
    view.members[change.name] = std::move(*change.member);
}

void remember_departed(fleet_view& view, fleet_member entry, common::time_point now) {
    if (view.departed.size() == max_departed_hosts) {
        view.departed.erase(view.departed.begin());
    }
    view.departed.push_back({std::move(entry), now});
}

bool erase_member(fleet_view& view, std::string_view name, std::string_view own_host,
                  common::time_point now) {
    const auto found = view.members.find(name);
    if (found == view.members.end()) {
        return false;
    }
    if (name == own_host) {
        view.member_since.reset();
    } else {
        remember_departed(view, std::move(found->second), now);
    }
    view.members.erase(found);
    view.former.push_back({std::string(name), now});
    return true;
}

} // namespace

std::vector<std::string> change_members(fleet_view& view, std::vector<member_change> changes,
                                        std::string_view own_host, common::time_point now) {
    std::vector<std::string> left;
    for (auto& it : changes) {
        if (it.member) {
            insert_member(view, std::move(it), own_host, now);
        } else if (erase_member(view, it.name, own_host, now)) {
            left.push_back(std::move(it.name));
        }
    }
    refresh(view, own_host);
    return left;
}

void add_member(fleet_view& view, fleet_member member, std::string_view own_host, common::time_point now) {
    auto name = member.name;
    change_members(view, {{std::move(name), std::move(member)}}, own_host, now);
}

bool remove_member(fleet_view& view, std::string_view name, std::string_view own_host,
                   common::time_point now) {
    return !change_members(view, {{std::string(name), std::nullopt}}, own_host, now).empty();
}

bool has_expired_former(const fleet_view& view, common::time_point now) {
    return std::any_of(view.former.begin(), view.former.end(),
                       [&](const auto& it) { return it.left_at + handover_time <= now; }) ||
           std::any_of(view.departed.begin(), view.departed.end(),
                       [&](const auto& it) { return it.left_at + departed_time <= now; });
}

bool forget_former(fleet_view& view, common::time_point now) {
    const auto former =
        std::erase_if(view.former, [&](const auto& it) { return it.left_at + handover_time <= now; });
    const auto departed =
        std::erase_if(view.departed, [&](const auto& it) { return it.left_at + departed_time <= now; });
    return former + departed > 0;
}

std::size_t sharing_hosts(const fleet_view& view) {
    return view.member_since ? view.names.size() + view.former.size() : 0;
}

} // namespace lycheegap::traffic
