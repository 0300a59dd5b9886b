#include "relays.h"

#include <algorithm>

namespace lycheegap::membership {

namespace {

constexpr int relays_per_failure_domain = 2;

bool has_answered(const member& it, std::span<const member_answer> answers, common::time_point asked_since) {
    return std::any_of(answers.begin(), answers.end(), [&](const member_answer& answer) {
        return answer.name == it.name && answer.incarnation == it.incarnation &&
               answer.asked_at >= asked_since;
    });
}

bool contains(std::span<const std::string> list, std::string_view name) {
    return std::find(list.begin(), list.end(), name) != list.end();
}

} // namespace

bool is_relay(const generation& current, const member& self, std::span<const member_answer> answers,
              common::time_point asked_since) {
    int earlier_relays = 0;
    for (const auto& it : current.members) {
        const bool earlier = it.failure_domain == self.failure_domain && it.name < self.name;
        earlier_relays += earlier && has_answered(it, answers, asked_since) ? 1 : 0;
    }
    return earlier_relays < relays_per_failure_domain;
}

std::vector<std::string> unresponsive_members(const generation& current, const member& self,
                                              std::span<const member_answer> answers,
                                              common::time_point asked_since) {
    std::vector<std::string> silent;
    for (const auto& it : current.members) {
        if (it.name != self.name && !has_answered(it, answers, asked_since)) {
            silent.push_back(it.name);
        }
    }
    return silent;
}

std::vector<std::string> removable_members(const generation& current, const member& self,
                                           std::span<const std::string> own_silent,
                                           std::span<const silence_report> reports,
                                           common::time_point asked_since) {
    std::vector<std::string> removable;
    for (const auto& name : own_silent) {
        std::size_t reporter_count = 1;
        for (const auto& it : reports) {
            const bool counts = it.name != self.name && it.asked_at >= asked_since &&
                                is_member(current, it.name, it.incarnation) && contains(it.silent, name);
            reporter_count += counts ? 1 : 0;
        }
        // A majority is needed so that two hosts that cannot reach each other do not remove each other.
        if (reporter_count >= majority_of(current)) {
            removable.push_back(name);
        }
    }
    return removable;
}

} // namespace lycheegap::membership
