#include "block_map.h"

#include <algorithm>
#include <charconv>

namespace lycheegap::steering {

namespace {

constexpr unsigned address_bits = 32;
constexpr unsigned high_bits = 16;
constexpr std::uint64_t address_count = 1ULL << address_bits;
constexpr std::uint32_t highest_octet = 255;
constexpr unsigned bits_per_octet = 8;
constexpr int octets = 4;

std::uint64_t size_of(const client_block& it) {
    return address_count >> it.prefix_bits;
}

std::uint64_t end_of(const client_block& it) {
    return it.first + size_of(it);
}

client_block without_host_bits(client_block it) {
    const auto mask = static_cast<std::uint32_t>(address_count - size_of(it));
    it.first &= mask;
    return it;
}

std::vector<client_block> sorted_blocks(std::span<const client_block> blocks) {
    std::vector<client_block> sorted;
    sorted.reserve(blocks.size());
    std::transform(blocks.begin(), blocks.end(), std::back_inserter(sorted), &without_host_bits);
    // An outer block comes before those within it.
    std::stable_sort(sorted.begin(), sorted.end(), [](const client_block& a, const client_block& b) {
        return a.first != b.first ? a.first < b.first : a.prefix_bits < b.prefix_bits;
    });
    return sorted;
}

/// Begins a range; one that would be empty, or would repeat the site before it, leaves no trace.
void begin_range(block_map& target, std::uint64_t start, site_number site) {
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

/// Ends the innermost blocks that end at or before `position`.
void close_blocks(block_map& target, std::vector<client_block>& open, std::uint64_t position) {
    while (!open.empty() && end_of(open.back()) <= position) {
        const auto end = end_of(open.back());
        open.pop_back();
        begin_range(target, end, open.empty() ? no_site : open.back().site);
    }
}

void index_ranges(block_map& target) {
    target.range_by_high_bits.resize(1U << high_bits);
    std::size_t range = 0;
    for (std::uint32_t high = 0; high < target.range_by_high_bits.size(); ++high) {
        const auto first = high << high_bits;
        while (range + 1 < target.range_starts.size() && target.range_starts[range + 1] <= first) {
            ++range;
        }
        target.range_by_high_bits[high] = static_cast<std::uint32_t>(range);
    }
}

} // namespace

block_map make_block_map(std::span<const client_block> blocks) {
    block_map built;
    std::vector<client_block> open;
    begin_range(built, 0, no_site);
    for (const auto& it : sorted_blocks(blocks)) {
        close_blocks(built, open, it.first);
        begin_range(built, it.first, it.site);
        open.push_back(it);
    }
    close_blocks(built, open, address_count);
    index_ranges(built);
    built.range_starts.shrink_to_fit();
    built.range_sites.shrink_to_fit();
    return built;
}

site_number find_site(const block_map& source, std::uint32_t address) {
    if (source.range_starts.empty()) {
        return no_site;
    }
    const auto high = address >> high_bits;
    const auto first = source.range_starts.begin() + source.range_by_high_bits[high];
    const bool is_last = high + 1 == source.range_by_high_bits.size();
    const auto last = is_last ? source.range_starts.end()
                              : source.range_starts.begin() + source.range_by_high_bits[high + 1] + 1;
    const auto after = std::upper_bound(first, last, address);
    return source.range_sites[static_cast<std::size_t>(after - source.range_starts.begin()) - 1];
}

std::size_t bytes_of(const block_map& source) {
    return source.range_starts.capacity() * sizeof(std::uint32_t) +
           source.range_sites.capacity() * sizeof(site_number) +
           source.range_by_high_bits.capacity() * sizeof(std::uint32_t);
}

std::optional<std::uint32_t> parse_address(std::string_view text) {
    std::uint32_t address = 0;
    const char* it = text.data();
    const char* end = text.data() + text.size();
    for (int n = 0; n < octets; ++n) {
        std::uint32_t octet = 0;
        const auto [next, ec] = std::from_chars(it, end, octet);
        if (ec != std::errc{} || octet > highest_octet) {
            return std::nullopt;
        }
        address = address << bits_per_octet | octet;
        it = next;
        if (n + 1 < octets) {
            if (it == end || *it != '.') {
                return std::nullopt;
            }
            ++it;
        }
    }
    return it == end ? std::optional(address) : std::nullopt;
}

} // namespace lycheegap::steering
