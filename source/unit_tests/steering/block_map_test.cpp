#include <algorithm>
#include <random>

#include <doctest/doctest.h>

#include "core/steering/block_map.h"

namespace lycheegap::steering {

namespace {

constexpr std::uint64_t seed_count = 200;
constexpr int blocks_per_map = 300;
constexpr int addresses_per_map = 300;

bool contains(const client_block& it, std::uint32_t address) {
    return it.prefix_bits == 0 || (it.first ^ address) >> (32 - it.prefix_bits) == 0;
}

/// Reference implementation: scans all blocks for the longest prefix that contains the address. The later of
/// two equal blocks wins.
site_number find_site_by_scan(std::span<const client_block> blocks, std::uint32_t address) {
    const client_block* best = nullptr;
    for (const auto& it : blocks) {
        if (contains(it, address) && (best == nullptr || it.prefix_bits >= best->prefix_bits)) {
            best = &it;
        }
    }
    return best == nullptr ? no_site : best->site;
}

client_block random_block(std::mt19937_64& random) {
    // Few distinct high bits, so that many blocks are nested or adjacent.
    const auto first =
        static_cast<std::uint32_t>((random() % 4) << 30U | (random() % 8) << 16U | random() % 65536);
    return {first, static_cast<std::uint8_t>(random() % 33), static_cast<site_number>(random() % 220)};
}

} // namespace

TEST_CASE("block map: finds the same site as a scan of all blocks") {
    for (std::uint64_t seed = 1; seed <= seed_count; ++seed) {
        CAPTURE(seed);
        std::mt19937_64 random(seed);
        std::vector<client_block> blocks(random() % blocks_per_map);
        std::generate(blocks.begin(), blocks.end(), [&] { return random_block(random); });
        const auto map = make_block_map(blocks);
        for (int n = 0; n < addresses_per_map; ++n) {
            auto address = static_cast<std::uint32_t>(random());
            if (n % 2 == 0 && !blocks.empty()) {
                const auto& near = blocks[random() % blocks.size()];
                address = near.first + static_cast<std::uint32_t>(random() % 3) - 1;
            }
            REQUIRE(find_site(map, address) == find_site_by_scan(blocks, address));
        }
    }
}

TEST_CASE("block map: limits of the address space and memory use with a million blocks") {
    const std::vector<client_block> edges = {{0, 0, 1}, {0xffffffff, 32, 2}, {0, 32, 3}};
    const auto map = make_block_map(edges);
    CHECK(find_site(map, 0) == 3);
    CHECK(find_site(map, 1) == 1);
    CHECK(find_site(map, 0xfffffffe) == 1);
    CHECK(find_site(map, 0xffffffff) == 2);
    CHECK(find_site(block_map{}, 5) == no_site);
    std::mt19937_64 random(1);
    std::vector<client_block> blocks(1'000'000);
    for (auto& it : blocks) {
        it = {static_cast<std::uint32_t>(random()), static_cast<std::uint8_t>(16 + random() % 9),
              static_cast<site_number>(random() % 220)};
    }
    // A node may use 256 MB for control; the map gets an eighth of that.
    CHECK(memory_bytes(make_block_map(blocks)) < 32'000'000);
}

TEST_CASE("parse_address accepts exactly four decimal octets") {
    CHECK(parse_address("127.0.0.1") == 0x7f000001);
    CHECK(parse_address("255.255.255.255") == 0xffffffff);
    for (const auto* text : {"", "1.2.3", "1.2.3.4.5", "1.2.3.256", "1.2.3.4 ", "a.b.c.d", "1..2.3"}) {
        CHECK_FALSE(parse_address(text));
    }
}

} // namespace lycheegap::steering
