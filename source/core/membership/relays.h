#pragma once

#include <span>
#include <string>
#include <vector>

#include "authority.h"

namespace lycheegap::membership {

/// Whether this host watches the store for its failure domain. The relays of a failure domain are the first
/// two members by name among this host and those that answered a question sent at `asked_since` or later.
bool is_relay(const generation& current, const member& self, std::span<const member_answer> answers,
              common::time_point asked_since);

/// Names, sorted, of the other members that answered no question sent at `asked_since` or later.
std::vector<std::string> unresponsive_members(const generation& current, const member& self,
                                              std::span<const member_answer> answers,
                                              common::time_point asked_since);

/// A member's report of the members that do not answer it.
struct silence_report {
    std::string name;
    std::uint64_t incarnation{0};
    common::time_point asked_at;
    std::vector<std::string> silent;
};

/// Members that may be removed: those that do not answer a majority of the members, this host included, by
/// reports on questions sent at `asked_since` or later. `own_silent`: the members that do not answer this
/// host.
std::vector<std::string> removable_members(const generation& current, const member& self,
                                           std::span<const std::string> own_silent,
                                           std::span<const silence_report> reports,
                                           common::time_point asked_since);

} // namespace lycheegap::membership
