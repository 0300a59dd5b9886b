#pragma once

#include <cstdint>
#include <string>
#include <string_view>

namespace lycheegap::common {

/// Digest of a team's API key in hexadecimal (BLAKE2b, 256 bits). The catalog, logs and dumps contain only
/// the digest, never the key.
std::string key_digest(std::string_view key);

/// Compares two secrets in a time that does not depend on where they differ.
bool equal_secrets(std::string_view a, std::string_view b);

/// 64 random bits from the operating system's cryptographic generator.
std::uint64_t random_bits();

/// Fast non-cryptographic hash (XXH3) with the same result on every host. Not for secrets.
std::uint64_t stable_hash(std::string_view text, std::uint64_t seed = 0);

} // namespace lycheegap::common
