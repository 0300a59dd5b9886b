#include "digest.h"

#include <array>

#define XXH_INLINE_ALL
#include <sodium.h>
#include <xxhash.h>

namespace lycheegap::common {

namespace {

using digest_bytes = std::array<unsigned char, crypto_generichash_BYTES>;

digest_bytes blake2b_digest(std::string_view text) {
    digest_bytes out{};
    const auto* bytes = reinterpret_cast<const unsigned char*>(text.data());
    crypto_generichash(out.data(), out.size(), bytes, text.size(), nullptr, 0);
    return out;
}

} // namespace

std::string key_digest(std::string_view key) {
    const auto digest = blake2b_digest(key);
    std::string text(digest.size() * 2 + 1, '\0');
    sodium_bin2hex(text.data(), text.size(), digest.data(), digest.size());
    text.pop_back();
    return text;
}

bool equal_secrets(std::string_view a, std::string_view b) {
    const auto first = blake2b_digest(a);
    const auto second = blake2b_digest(b);
    return sodium_memcmp(first.data(), second.data(), first.size()) == 0;
}

std::uint64_t random_bits() {
    std::uint64_t value = 0;
    randombytes_buf(&value, sizeof value);
    return value;
}

std::uint64_t stable_hash(std::string_view text, std::uint64_t seed) {
    return XXH3_64bits_withSeed(text.data(), text.size(), seed);
}

} // namespace lycheegap::common
