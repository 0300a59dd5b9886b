#include "block_map.h"

#include <algorithm>
#include <charconv>

namespace lycheegap::steering {

namespace {

constexpr unsigned address_bits = 32;
constexpr unsigned index_bits = 16;
constexpr std::uint64_t address_count = 1ULL << address_bits;
constexpr std::uint32_t max_octet = 255;
constexpr unsigned bits_per_octet = 8;
constexpr int octet_count = 4;

std::uint64_t address_count_of(const client_block& it) {
    return address_count >> it.prefix_bits;
}

std::uint64_t end_address(const client_block& it) {
    return it.first + address_count_of(it);
}

client_block without_host_bits(client_block it) {
    const auto mask = static_cast<std::uint32_t>(address_count - address_count_of(it));
    it.first &= mask;
    return it;
}

std::vector<client_block> sorted_blocks(std::span<const client_block> blocks) {
    std::vector<client_block> sorted;
    sorted.reserve(blocks.size());
    std::transform(blocks.begin(), blocks.end(), std::back_inserter(sorted), &without_host_bits);
    // Puts a block before the blocks nested in it.
    std::stable_sort(sorted.begin(), sorted.end(), [](const client_block& a, const client_block& b) {
        return a.first != b.first ? a.first < b.first : a.prefix_bits < b.prefix_bits;
    });
    return sorted;
}

/// Appends a range that begins at `start`. Removes the previous range if it would be empty, and appends
/// nothing if the previous range has the same site.
void append_range(block_map& target, std::uint64_t start, site_number site) {
    if (start >= address_count) {
        return;
    }
    const auto first = static_cast<std::uint32_t>(start);
    if (!target.range_starts.empty() && target.range_starts.back() == first) {
        target.range_starts.pop_back();
        target.range_sites.pop_back();
    }
    if (!target.range_sites.empty() && target.range_sites.back() == site) {
        return;
    }
    target.range_starts.push_back(first);
    target.range_sites.push_back(site);
}

/// Closes the enclosing blocks that end at or before `position`, innermost first.
void close_blocks_before(block_map& target, std::vector<client_block>& enclosing, std::uint64_t position) {
    while (!enclosing.empty() && end_address(enclosing.back()) <= position) {
        const auto end = end_address(enclosing.back());
        enclosing.pop_back();
        append_range(target, end, enclosing.empty() ? no_site : enclosing.back().site);
    }
}

void build_index(block_map& target) {
    target.range_by_high_bits.resize(1U << index_bits);
    std::size_t range = 0;
    for (std::uint32_t high = 0; high < target.range_by_high_bits.size(); ++high) {
        const auto first = high << index_bits;
        while (range + 1 < target.range_starts.size() && target.range_starts[range + 1] <= first) {
            ++range;
        }
        target.range_by_high_bits[high] = static_cast<std::uint32_t>(range);
    }
}

} // namespace

block_map make_block_map(std::span<const client_block> blocks) {
    block_map built;
    std::vector<client_block> enclosing;
    append_range(built, 0, no_site);
    for (const auto& it : sorted_blocks(blocks)) {
        close_blocks_before(built, enclosing, it.first);
        append_range(built, it.first, it.site);
        enclosing.push_back(it);
    }
    close_blocks_before(built, enclosing, address_count);
    build_index(built);
    built.range_starts.shrink_to_fit();
    built.range_sites.shrink_to_fit();
    return built;
}

site_number find_site(const block_map& source, std::uint32_t address) {
    if (source.range_starts.empty()) {
        return no_site;
    }
    const auto high = address >> index_bits;
    const auto first = source.range_starts.begin() + source.range_by_high_bits[high];
    const bool is_last = high + 1 == source.range_by_high_bits.size();
    const auto last = is_last ? source.range_starts.end()
                              : source.range_starts.begin() + source.range_by_high_bits[high + 1] + 1;
    const auto after = std::upper_bound(first, last, address);
    return source.range_sites[static_cast<std::size_t>(after - source.range_starts.begin()) - 1];
}

std::size_t memory_bytes(const block_map& source) {
    return source.range_starts.capacity() * sizeof(std::uint32_t) +
           source.range_sites.capacity() * sizeof(site_number) +
           source.range_by_high_bits.capacity() * sizeof(std::uint32_t);
}

std::optional<std::uint32_t> parse_address(std::string_view text) {
    std::uint32_t address = 0;
    const char* it = text.data();
    const char* end = text.data() + text.size();
    for (int n = 0; n < octet_count; ++n) {
        std::uint32_t octet = 0;
        const auto [next, ec] = std::from_chars(it, end, octet);
        if (ec != std::errc{} || octet > max_octet) {
            return std::nullopt;
        }
        address = address << bits_per_octet | octet;
        it = next;
        if (n + 1 < octet_count) {
            if (it == end || *it != '.') {
                return std::nullopt;
            }
            ++it;
        }
    }
    return it == end ? std::optional(address) : std::nullopt;
}

} // namespace lycheegap::steering
