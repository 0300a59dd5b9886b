#include "generation.h"

#include <algorithm>

namespace lycheegap::membership {

namespace {

bool name_less(const member& a, const member& b) {
    return a.name < b.name;
}

// Takes the host out and remembers its incarnation. A process that has just started proves that the earlier
// one under its name has ended: names are unique and the platform runs one process for each.
void depart(generation& next, std::string_view name, bool gave_up) {
    const auto* leaver = find_member(next, name);
    if (leaver == nullptr) {
        return;
    }
    next.departed.push_back({leaver->name, leaver->incarnation, leaver->joined, next.number, gave_up});
    std::erase_if(next.members, [&](const member& it) { return it.name == name; });
}

// A process that ended has ended in all its earlier memberships.
void give_up_earlier(generation& next, const member& joining) {
    for (auto& it : next.departed) {
        if (it.name == joining.name && it.incarnation != joining.incarnation) {
            it.gave_up = true;
        }
    }
}

} // namespace

const member* find_member(const generation& source, std::string_view name) {
    for (const auto& it : source.members) {
        if (it.name == name) {
            return &it;
        }
    }
    return nullptr;
}

bool is_member(const generation& source, std::string_view name, std::uint64_t incarnation) {
    const auto* found = find_member(source, name);
    return found != nullptr && found->incarnation == incarnation;
}

generation with_member(const generation& source, const member& joining) {
    auto next = source;
    next.number = source.number + 1;
    depart(next, joining.name, true);
    give_up_earlier(next, joining);
    next.members.push_back(joining);
    next.members.back().joined = next.number;
    std::sort(next.members.begin(), next.members.end(), name_less);
    return next;
}

generation with_leaving(const generation& source, std::string_view name, std::uint64_t incarnation) {
    if (!is_member(source, name, incarnation)) {
        return source;
    }
    auto next = source;
    for (auto& it : next.members) {
        it.leaving = it.leaving || it.name == name;
    }
    next.number = source.number + 1;
    return next;
}

generation without_member(const generation& source, std::string_view name, std::uint64_t incarnation,
                          departure why) {
    if (!is_member(source, name, incarnation)) {
        return source;
    }
    auto next = source;
    next.number = source.number + 1;
    depart(next, name, why == departure::gave_up);
    return next;
}

void raise_floor(generation& target, std::uint64_t settled) {
    target.floor = std::max(target.floor, settled);
    std::erase_if(target.departed, [&](const departed_member& it) { return it.left <= target.floor; });
}

std::size_t majority_of(const generation& source) {
    return source.members.size() / 2 + 1;
}

} // namespace lycheegap::membership
