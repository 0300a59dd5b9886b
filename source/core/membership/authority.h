#pragma once

#include <cstdint>
#include <span>
#include <string>
#include <vector>

#include "core/common/clock.h"
#include "generation.h"

namespace lycheegap::membership {

/// Until when a host may act on the revision and generation it knows.
struct authority {
    common::time_point deadline;
};

/// The last answer of one member. `asked_at` is the moment this host sent the question, on its own clock.
struct member_answer {
    std::string name;
    std::uint64_t incarnation{0};
    common::time_point asked_at;
    std::uint64_t catalog_revision{0};
    std::uint64_t generation{0};
};

/// What this host knows of itself when it weighs answers.
struct own_knowledge {
    std::string name;
    std::uint64_t incarnation{0};
    std::uint64_t catalog_revision{0};
};

/// Extends by the store's word that the revision is current, given to a question sent at `asked_at`.
void extend_by_store(authority& target, common::time_point asked_at, common::milliseconds length);

/// Extends by members: more than half of the generation, this host counted, answered questions sent no
/// earlier than some moment, none of them knowing a newer revision; the deadline is that moment plus
/// `length`. No effect when this incarnation is no member.
void extend_by_members(authority& target, const generation& current, const own_knowledge& self,
                       std::span<const member_answer> answers, common::time_point now,
                       common::milliseconds length);

/// Whether the host may still act.
bool holds(const authority& source, common::time_point now);

} // namespace lycheegap::membership
