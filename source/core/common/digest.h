#pragma once

#include <cstdint>
#include <string>
#include <string_view>

namespace lycheegap::common {

/// Digest of a team's key in hexadecimal (BLAKE2b, 256 bits). The catalog, logs and dumps hold only this.
std::string key_digest(std::string_view key);

/// Whether two secrets are the same, in a time that does not depend on where they differ.
bool equal_secrets(std::string_view a, std::string_view b);

/// 64 random bits from the system.
std::uint64_t system_random();

/// A fast hash that is the same on every host (XXH3). Not for secrets.
std::uint64_t stable_hash(std::string_view text, std::uint64_t seed = 0);

} // namespace lycheegap::common
