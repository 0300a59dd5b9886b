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
    /// Number of the first generation that holds this incarnation.
    std::uint64_t joined{0};
};

/// An incarnation that some host may still count as a member: it was one from generation `joined` up to, and
/// without, generation `left`.
struct departed_member {
    std::string name;
    std::uint64_t incarnation{0};
    std::uint64_t joined{0};
    std::uint64_t left{0};
    /// It said itself that it stopped, or a later incarnation of its host joined.
    bool gave_up{false};
};

/// The members as agreed in the store.
struct generation {
    std::uint64_t number{0};
    /// Sorted by name, one entry per host.
    std::vector<member> members;
    /// No host acts under a generation below this number any more.
    std::uint64_t floor{0};
    std::vector<departed_member> departed;
};

/// Why an incarnation is taken out.
enum class departure : std::uint8_t { gave_up, silent };

/// Member with this name, or null.
const member* find_member(const generation& source, std::string_view name);

/// Whether this very incarnation is a member.
bool is_member(const generation& source, std::string_view name, std::uint64_t incarnation);

/// The next generation, in which `joining` replaces any earlier incarnation of its host.
generation with_member(const generation& source, const member& joining);

/// The next generation, in which this incarnation is marked as leaving. Unchanged when it is no member.
generation with_leaving(const generation& source, std::string_view name, std::uint64_t incarnation);

/// The next generation without this incarnation. Unchanged when it is no member.
generation without_member(const generation& source, std::string_view name, std::uint64_t incarnation,
                          departure why = departure::gave_up);

/// Forgets what departed before generation `settled`, of which a version is accepted.
void raise_floor(generation& target, std::uint64_t settled);

/// Least number of members, oneself counted, that is more than half.
std::size_t majority_of(const generation& source);

} // namespace lycheegap::membership
