#pragma once

#include <cstdint>

namespace lycheegap::common {

// A store that comes back from an older copy gives out its revisions again, and its era rises. Hosts order
// revisions by era first. One number holds both, as the store, the hosts' copies and their messages compare
// it: 22 bits of era, 41 bits of the store's own revision, and one bit for an item that was kept over an
// older one.

inline constexpr unsigned int era_shift = 42;
inline constexpr std::uint64_t max_store_number = (1ULL << (era_shift - 1)) - 1;
inline constexpr std::uint64_t max_store_era = (1ULL << (64 - era_shift)) - 1;
inline constexpr std::uint64_t kept_bit = 1;

/// The revision that the store calls `number` in its era `era`; 0 for number 0, which stands for no revision.
constexpr std::uint64_t make_revision(std::uint64_t era, std::uint64_t number) {
    const auto within = number < max_store_number ? number : max_store_number;
    return number == 0 ? 0 : ((era & max_store_era) << era_shift) | (within << 1U);
}

constexpr std::uint64_t era_of(std::uint64_t revision) {
    return revision >> era_shift;
}

/// The store's own number of a revision.
constexpr std::uint64_t number_of(std::uint64_t revision) {
    return (revision >> 1U) & max_store_number;
}

/// Revision of a value that is kept over the one that a restored store has at `revision`: later than that
/// one, and earlier than the store's next one.
constexpr std::uint64_t kept_over(std::uint64_t revision) {
    return revision | kept_bit;
}

constexpr bool is_kept(std::uint64_t revision) {
    return era_of(revision) > 0 && (revision & kept_bit) != 0;
}

} // namespace lycheegap::common
