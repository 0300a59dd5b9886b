// Build time, memory per block and look-up time of the client block map at several sizes.
#include <iostream>
#include <random>

#include <fmt/format.h>

#include "core/common/clock.h"
#include "core/steering/block_map.h"

namespace {

namespace steering = lycheegap::steering;
using lycheegap::common::monotonic;
using lycheegap::common::seconds_between;

constexpr int site_count = 220;
constexpr int lookup_count = 2'000'000;
constexpr double ms_per_s = 1e3;
constexpr double ns_per_s = 1e9;

std::vector<steering::client_block> random_blocks(std::size_t n, std::mt19937_64& random) {
    std::vector<steering::client_block> blocks(n);
    for (auto& it : blocks) {
        it.first = static_cast<std::uint32_t>(random());
        it.prefix_bits = static_cast<std::uint8_t>(16 + random() % 9);
        it.site = static_cast<steering::site_number>(random() % site_count);
    }
    return blocks;
}

void measure(std::size_t n) {
    std::mt19937_64 random(n);
    const auto blocks = random_blocks(n, random);
    const auto started_at = monotonic::now();
    const auto map = steering::make_block_map(blocks);
    const auto built_at = monotonic::now();
    // Printed, so that the compiler cannot remove the look-ups.
    std::uint64_t checksum = 0;
    for (int it = 0; it < lookup_count; ++it) {
        checksum += steering::find_site(map, static_cast<std::uint32_t>(random()));
    }
    const auto done_at = monotonic::now();
    fmt::print("blocks={} build_ms={:.1f} bytes={} bytes_per_block={:.2f} lookup_ns={:.1f} check={}\n", n,
               seconds_between(started_at, built_at) * ms_per_s, steering::memory_bytes(map),
               static_cast<double>(steering::memory_bytes(map)) / static_cast<double>(n),
               seconds_between(built_at, done_at) * ns_per_s / lookup_count, checksum % 1000);
}

} // namespace

int main() {
    for (const std::size_t n : {62'500UL, 250'000UL, 500'000UL, 1'000'000UL}) {
        measure(n);
    }
    return EXIT_SUCCESS;
}
