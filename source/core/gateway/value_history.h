#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

namespace lycheegap::gateway {

/// A value as it was written at a revision of the store.
struct value_version {
    std::uint64_t revision{0};
    std::shared_ptr<const std::string> value;
};

/// Names a version of an item's value.
struct version_name {
    std::string key;
    std::uint64_t revision{0};

    bool operator==(const version_name&) const = default;
};

/// A version in compressed form, as a difference from the version `base_revision`; 0 for no base.
struct compressed_version {
    version_name name;
    std::uint64_t base_revision{0};
    std::shared_ptr<const std::string> bytes;
};

/// Latest versions of large values, from which later ones can be sent as differences, and their compressed
/// forms.
struct value_history {
    /// Versions by key, the latest last.
    std::map<std::string, std::vector<value_version>, std::less<>> versions;
    /// The latest last.
    std::vector<compressed_version> compressed;
};

/// Whether a value is large enough to be kept in the history and sent in compressed form.
bool is_large_value(std::string_view value);

/// Adds the version that an item has from now on and drops the oldest ones beyond the limits. A version that
/// is not large drops all earlier ones of its key.
void note_version(value_history& history, std::string_view key, std::uint64_t revision,
                  std::string_view value);

/// Null if the version is not kept.
std::shared_ptr<const std::string> find_version(const value_history& history, std::string_view key,
                                                std::uint64_t revision);

/// Latest version of each large value.
std::vector<version_name> latest_versions(const value_history& history);

/// Keeps a compressed form for later answers, and drops the oldest ones beyond the limit.
void note_compressed(value_history& history, compressed_version made);

/// Null if this form is not kept.
std::shared_ptr<const std::string> find_compressed(const value_history& history, const version_name& name,
                                                   std::uint64_t base_revision);

} // namespace lycheegap::gateway
