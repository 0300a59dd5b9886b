#include "relays.h"

#include <algorithm>

namespace lycheegap::membership {

namespace {

constexpr int relays_per_failure_domain = 2;

bool was_heard(const member& it, std::span<const member_answer> answers, common::time_point since) {
    return std::any_of(answers.begin(), answers.end(), [&](const member_answer& answer) {
        return answer.name == it.name && answer.incarnation == it.incarnation && answer.asked_at >= since;
    });
}

bool names(std::span<const std::string> list, std::string_view name) {
    return std::find(list.begin(), list.end(), name) != list.end();
}

} // namespace

bool is_relay(const generation& current, const member& self, std::span<const member_answer> answers,
              common::time_point since) {
    int before = 0;
    for (const auto& it : current.members) {
        const bool earlier = it.failure_domain == self.failure_domain && it.name < self.name;
        before += earlier && was_heard(it, answers, since) ? 1 : 0;
    }
    return before < relays_per_failure_domain;
}

std::vector<std::string> silent_members(const generation& current, const member& self,
                                        std::span<const member_answer> answers, common::time_point since) {
    std::vector<std::string> silent;
    for (const auto& it : current.members) {
        if (it.name != self.name && !was_heard(it, answers, since)) {
            silent.push_back(it.name);
        }
    }
    return silent;
}

std::vector<std::string> removable_members(const generation& current, const member& self,
                                           std::span<const std::string> own_silent,
                                           std::span<const silence_report> reports,
                                           common::time_point since) {
    std::vector<std::string> removable;
    for (const auto& name : own_silent) {
        std::size_t agreeing = 1;
        for (const auto& it : reports) {
            const bool counts = it.name != self.name && it.asked_at >= since &&
                                is_member(current, it.name, it.incarnation) && names(it.silent, name);
            agreeing += counts ? 1 : 0;
        }
        // Two hosts that hear each other no more must not take each other out.
        if (agreeing >= majority_of(current)) {
            removable.push_back(name);
        }
    }
    return removable;
}

} // namespace lycheegap::membership
