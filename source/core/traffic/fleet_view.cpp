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

} // namespace

void add_member(fleet_view& view, fleet_member member, std::string_view own_host, common::time_point now) {
    if (member.name == own_host && !view.member_since) {
        view.member_since = now;
    }
    std::erase_if(view.former, [&](const auto& it) { return it.name == member.name; });
    const auto name = member.name;
    view.members[name] = std::move(member);
    refresh(view, own_host);
}

bool remove_member(fleet_view& view, std::string_view name, std::string_view own_host,
                   common::time_point now) {
    const auto found = view.members.find(name);
    if (found == view.members.end()) {
        return false;
    }
    view.members.erase(found);
    if (name == own_host) {
        view.member_since.reset();
    }
    view.former.push_back({std::string(name), now});
    refresh(view, own_host);
    return true;
}

bool forget_former(fleet_view& view, common::time_point now) {
    return std::erase_if(view.former, [&](const auto& it) { return it.left_at + handover_time <= now; }) > 0;
}

std::size_t sharing_hosts(const fleet_view& view) {
    return view.member_since ? view.names.size() + view.former.size() : 0;
}

} // namespace lycheegap::traffic
