#pragma once

#include <span>
#include <string>
#include <vector>

#include "authority.h"

namespace lycheegap::membership {

/// Whether this host watches the store for its failure domain: it is one of the first two members there, by
/// name, that answered a question sent at `since` or later, itself counted.
bool is_relay(const generation& current, const member& self, std::span<const member_answer> answers,
              common::time_point since);

/// Members, sorted, that answered no question sent at `since` or later.
std::vector<std::string> silent_members(const generation& current, const member& self,
                                        std::span<const member_answer> answers, common::time_point since);

/// What one member said of the others.
struct silence_report {
    std::string name;
    std::uint64_t incarnation{0};
    common::time_point asked_at;
    std::vector<std::string> silent;
};

/// Members that may be taken out: more than half of the members, this host counted, reported at `since` or
/// later that they hear nothing from them. `own_silent` is what this host hears nothing from.
std::vector<std::string> removable_members(const generation& current, const member& self,
                                           std::span<const std::string> own_silent,
                                           std::span<const silence_report> reports, common::time_point since);

} // namespace lycheegap::membership
