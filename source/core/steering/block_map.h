#pragma once

#include <cstdint>
#include <optional>
#include <span>
#include <string_view>
#include <vector>

namespace lycheegap::steering {

/// Number of a site in the list of sites; `no_site` is none.
using site_number = std::uint16_t;
inline constexpr site_number no_site = 0xffff;

/// Clients whose IPv4 numbers share their first `prefix_bits` bits, and the site that serves them.
struct client_block {
    std::uint32_t first{0};
    std::uint8_t prefix_bits{0};
    site_number site{no_site};

    bool operator==(const client_block&) const = default;
};

/// Longest-prefix map. Nested blocks are cut into ranges that do not overlap; range n reaches from
/// `range_starts[n]` to the next start and belongs to `range_sites[n]`. `range_by_high_bits[h]` is the range
/// that holds the first address whose high 16 bits are h.
struct block_map {
    std::vector<std::uint32_t> range_starts;
    std::vector<site_number> range_sites;
    std::vector<std::uint32_t> range_by_high_bits;
};

/// Builds the map; of two blocks with one prefix the later one counts. Bits after a prefix are ignored.
block_map make_block_map(std::span<const client_block> blocks);

/// Site of the longest block that holds the address.
site_number find_site(const block_map& source, std::uint32_t address);

/// Memory of a map in bytes.
std::size_t bytes_of(const block_map& source);

/// IPv4 number of dotted decimal text; empty for anything else.
std::optional<std::uint32_t> parse_address(std::string_view text);

} // namespace lycheegap::steering
