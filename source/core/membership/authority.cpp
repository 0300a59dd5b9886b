#include "authority.h"

#include <algorithm>

#include "acceptance.h"

namespace lycheegap::membership {

namespace {

void extend_to(authority_lease& target, common::time_point deadline) {
    target.deadline = std::max(target.deadline, deadline);
}

} // namespace

void extend_by_store(authority_lease& target, common::time_point asked_at, common::milliseconds length) {
    extend_to(target, asked_at + length);
}

common::time_point relayed_asked_at(common::time_point asked_at, common::milliseconds age) {
    return asked_at - add_clock_drift(age);
}

void extend_by_members(authority_lease& target, const generation& current, const own_state& self,
                       std::span<const member_answer> answers, common::time_point now,
                       common::milliseconds length) {
    if (!is_member(current, self.name, self.incarnation)) {
        return;
    }
    std::vector<common::time_point> asked_times{now};
    for (const auto& it : answers) {
        const bool counts = it.name != self.name && is_member(current, it.name, it.incarnation);
        if (counts && it.version <= self.version) {
            asked_times.push_back(it.asked_at);
        }
    }
    const auto needed = majority_of(current);
    if (asked_times.size() < needed) {
        return;
    }
    const auto majority_asked_at = asked_times.begin() + static_cast<std::ptrdiff_t>(needed) - 1;
    std::nth_element(asked_times.begin(), majority_asked_at, asked_times.end(), std::greater<>());
    extend_to(target, *majority_asked_at + length);
}

bool is_lease_valid(const authority_lease& current, common::time_point now) {
    return now < current.deadline;
}

} // namespace lycheegap::membership
