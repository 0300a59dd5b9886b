#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace lycheegap::membership {

/// One life of one host. A restart is a new incarnation.
struct member {
    std::string name;
    std::uint64_t incarnation{0};
    std::string region;
    std::string failure_domain;
    /// IP number and port of each listener.
    std::string peer_address;
    std::string lookup_address;
    std::string request_address;
    std::string operator_address;
    /// Planned stop: named in no new look-up answer.
    bool leaving{false};
};

/// The members as agreed in the store.
struct generation {
    std::uint64_t number{0};
    /// Sorted by name, one entry per host.
    std::vector<member> members;
};

/// Member with this name, or null.
const member* find_member(const generation& source, std::string_view name);

/// Whether this very incarnation is a member.
bool is_member(const generation& source, std::string_view name, std::uint64_t incarnation);

/// The next generation, in which `joining` replaces any earlier incarnation of its host.
generation with_member(const generation& source, const member& joining);

/// The next generation without this incarnation. Unchanged when it is no member.
generation without_member(const generation& source, std::string_view name, std::uint64_t incarnation);

/// Least number of members, oneself counted, that is more than half.
std::size_t majority_of(const generation& source);

} // namespace lycheegap::membership
