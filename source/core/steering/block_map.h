#pragma once

#include <cstdint>
#include <optional>
#include <span>
#include <string_view>
#include <vector>

namespace lycheegap::steering {

/// Index in the list of client sites, or `no_site`.
using site_number = std::uint16_t;
inline constexpr site_number no_site = 0xffff;

/// IPv4 address block: the addresses that share their first `prefix_bits` bits with `first`, and the site
/// that these clients belong to.
struct client_block {
    std::uint32_t first{0};
    std::uint8_t prefix_bits{0};
    site_number site{no_site};

    bool operator==(const client_block&) const = default;
};

/// Longest-prefix match from addresses to sites. Nested blocks are flattened into disjoint ranges in
/// ascending order: range n goes from `range_starts[n]` up to the next start and belongs to `range_sites[n]`.
/// `range_by_high_bits[h]` is the index of the range with the first address whose high 16 bits are h.
struct block_map {
    std::vector<std::uint32_t> range_starts;
    std::vector<site_number> range_sites;
    std::vector<std::uint32_t> range_by_high_bits;
};

/// Builds the map. If two blocks have the same prefix, the later one wins. Address bits after the prefix are
/// ignored.
block_map make_block_map(std::span<const client_block> blocks);

/// Site of the block with the longest prefix that contains the address, or `no_site`.
site_number find_site(const block_map& source, std::uint32_t address);

/// Heap memory allocated by the map, in bytes.
std::size_t memory_bytes(const block_map& source);

/// Parses an IPv4 address in dotted decimal notation, with the first octet in the high bits. Empty for any
/// other text.
std::optional<std::uint32_t> parse_address(std::string_view text);

} // namespace lycheegap::steering
