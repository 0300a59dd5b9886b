#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace lycheegap::membership {

/// One incarnation of a host: a process from its start to its end. A restart makes a new incarnation.
struct member {
    std::string name;
    std::uint64_t incarnation{0};
    std::string region;
    std::string failure_domain;
    /// IP address and port of each listener.
    std::string peer_address;
    std::string lookup_address;
    std::string request_address;
    std::string operator_address;
    /// The host is about to stop; new look-up answers do not name it.
    bool leaving{false};
    /// Number of the first generation with this incarnation as a member.
    std::uint64_t joined{0};
};

/// A former member that some host, under an older generation, may still count as one: it was a member from
/// generation `joined` until the one before `left`.
struct departed_member {
    std::string name;
    std::uint64_t incarnation{0};
    std::uint64_t joined{0};
    std::uint64_t left{0};
    /// The incarnation announced its stop, or a later incarnation of its host joined: it acts no more.
    bool gave_up{false};
};

/// The list of members, as recorded in the store. Each change of the members makes a new generation.
struct generation {
    std::uint64_t number{0};
    /// Sorted by name, one entry per host.
    std::vector<member> members;
    /// Lowest number of a generation under which a host may still act.
    std::uint64_t floor{0};
    /// Former members that left after generation `floor`.
    std::vector<departed_member> departed;
};

/// Why an incarnation is removed: it stopped or was replaced, or the other members get no answers from it.
enum class departure : std::uint8_t { gave_up, silent };

/// Member with this name, or null.
const member* find_member(const generation& current, std::string_view name);

/// Whether this incarnation of the host is a member.
bool is_member(const generation& current, std::string_view name, std::uint64_t incarnation);

/// The next generation, in which `joining` replaces any earlier incarnation of its host.
generation with_member(const generation& current, const member& joining);

/// The next generation, in which this incarnation is marked as leaving. Unchanged if it is not a member.
generation with_leaving(const generation& current, std::string_view name, std::uint64_t incarnation);

/// The next generation without this incarnation. Unchanged if it is not a member.
generation without_member(const generation& current, std::string_view name, std::uint64_t incarnation,
                          departure why = departure::gave_up);

/// Raises the floor to `accepted_generation`, a generation of which a version is accepted, and drops former
/// members that had left by then.
void raise_floor(generation& target, std::uint64_t accepted_generation);

/// Smallest number of members that is more than half of them.
std::size_t majority_of(const generation& current);

} // namespace lycheegap::membership
