#include "generation.h"

#include <algorithm>

namespace lycheegap::membership {

namespace {

bool name_less(const member& a, const member& b) {
    return a.name < b.name;
}

// Removes the host from the members and records its incarnation as departed.
void remove_member(generation& next, std::string_view name, bool gave_up) {
    const auto* removed = find_member(next, name);
    if (removed == nullptr) {
        return;
    }
    next.departed.push_back({removed->name, removed->incarnation, removed->joined, next.number, gave_up});
    std::erase_if(next.members, [&](const member& it) { return it.name == name; });
}

// Marks all earlier incarnations of the host as stopped. The start of a process proves that the earlier one
// of that name has ended: names are unique and the platform runs one process for each name.
void mark_earlier_incarnations(generation& next, const member& joining) {
    for (auto& it : next.departed) {
        if (it.name == joining.name && it.incarnation != joining.incarnation) {
            it.gave_up = true;
        }
    }
}

} // namespace

const member* find_member(const generation& current, std::string_view name) {
    for (const auto& it : current.members) {
        if (it.name == name) {
            return &it;
        }
    }
    return nullptr;
}

bool is_member(const generation& current, std::string_view name, std::uint64_t incarnation) {
    const auto* found = find_member(current, name);
    return found != nullptr && found->incarnation == incarnation;
}

generation with_member(const generation& current, const member& joining) {
    auto next = current;
    next.number = current.number + 1;
    remove_member(next, joining.name, true);
    mark_earlier_incarnations(next, joining);
    next.members.push_back(joining);
    next.members.back().joined = next.number;
    std::sort(next.members.begin(), next.members.end(), name_less);
    return next;
}

generation with_leaving(const generation& current, std::string_view name, std::uint64_t incarnation) {
    if (!is_member(current, name, incarnation)) {
        return current;
    }
    auto next = current;
    for (auto& it : next.members) {
        it.leaving = it.leaving || it.name == name;
    }
    next.number = current.number + 1;
    return next;
}

generation without_member(const generation& current, std::string_view name, std::uint64_t incarnation,
                          departure why) {
    if (!is_member(current, name, incarnation)) {
        return current;
    }
    auto next = current;
    next.number = current.number + 1;
    remove_member(next, name, why == departure::gave_up);
    return next;
}

void raise_floor(generation& target, std::uint64_t accepted_generation) {
    target.floor = std::max(target.floor, accepted_generation);
    std::erase_if(target.departed, [&](const departed_member& it) { return it.left <= target.floor; });
}

std::size_t majority_of(const generation& current) {
    return current.members.size() / 2 + 1;
}

} // namespace lycheegap::membership
