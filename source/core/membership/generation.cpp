#include "generation.h"

#include <algorithm>

namespace lycheegap::membership {

namespace {

bool name_less(const member& a, const member& b) {
    return a.name < b.name;
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
    std::erase_if(next.members, [&](const member& it) { return it.name == joining.name; });
    next.members.push_back(joining);
    std::sort(next.members.begin(), next.members.end(), name_less);
    next.number = source.number + 1;
    return next;
}

generation without_member(const generation& source, std::string_view name, std::uint64_t incarnation) {
    if (!is_member(source, name, incarnation)) {
        return source;
    }
    auto next = source;
    std::erase_if(next.members, [&](const member& it) { return it.name == name; });
    next.number = source.number + 1;
    return next;
}

std::size_t majority_of(const generation& source) {
    return source.members.size() / 2 + 1;
}

} // namespace lycheegap::membership
