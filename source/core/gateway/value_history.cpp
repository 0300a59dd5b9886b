#include "value_history.h"

#include <algorithm>
#include <numeric>

namespace lycheegap::gateway {

namespace {

// Smaller values take fewer bytes than the messages around them.
constexpr std::size_t min_large_bytes = 4096;
// Hosts that are further behind get the whole value.
constexpr std::size_t max_versions = 6;
// Of the versions of all keys. Values beyond it are sent as they are.
constexpr std::size_t max_history_bytes = 8U << 20U;
constexpr std::size_t max_compressed = 16;
// Of all compressed forms.
constexpr std::size_t max_compressed_bytes = 4U << 20U;

/// Bytes of the versions of all keys.
std::size_t bytes_of(const value_history& history) {
    std::size_t bytes = 0;
    for (const auto& [key, versions] : history.versions) {
        for (const auto& it : versions) {
            bytes += it.value->size();
        }
    }
    return bytes;
}

/// Bytes of all compressed forms.
std::size_t compressed_bytes_of(const value_history& history) {
    return std::accumulate(history.compressed.begin(), history.compressed.end(), std::size_t{0},
                           [](std::size_t all, const auto& it) { return all + it.bytes->size(); });
}

/// Drops the version with the lowest revision of all keys.
void drop_oldest(value_history& history) {
    const auto oldest =
        std::min_element(history.versions.begin(), history.versions.end(), [](const auto& a, const auto& b) {
            return a.second.front().revision < b.second.front().revision;
        });
    oldest->second.erase(oldest->second.begin());
    if (oldest->second.empty()) {
        history.versions.erase(oldest);
    }
}

} // namespace

bool is_large_value(std::string_view value) {
    return value.size() >= min_large_bytes;
}

void note_version(value_history& history, std::string_view key, std::uint64_t revision,
                  std::string_view value) {
    const auto known = history.versions.find(key);
    if (!is_large_value(value)) {
        if (known != history.versions.end()) {
            history.versions.erase(known);
        }
        return;
    }
    auto& versions = known == history.versions.end() ? history.versions[std::string(key)] : known->second;
    versions.push_back({revision, std::make_shared<const std::string>(value)});
    if (versions.size() > max_versions) {
        versions.erase(versions.begin());
    }
    while (bytes_of(history) > max_history_bytes) {
        drop_oldest(history);
    }
}

std::shared_ptr<const std::string> find_version(const value_history& history, std::string_view key,
                                                std::uint64_t revision) {
    const auto known = history.versions.find(key);
    if (known == history.versions.end()) {
        return nullptr;
    }
    const auto found = std::find_if(known->second.begin(), known->second.end(),
                                    [&](const value_version& it) { return it.revision == revision; });
    return found == known->second.end() ? nullptr : found->value;
}

std::vector<version_name> latest_versions(const value_history& history) {
    std::vector<version_name> names;
    for (const auto& [key, versions] : history.versions) {
        names.push_back({key, versions.back().revision});
    }
    return names;
}

void note_compressed(value_history& history, compressed_version made) {
    history.compressed.push_back(std::move(made));
    while (history.compressed.size() > max_compressed ||
           compressed_bytes_of(history) > max_compressed_bytes) {
        history.compressed.erase(history.compressed.begin());
    }
}

std::shared_ptr<const std::string> find_compressed(const value_history& history, const version_name& name,
                                                   std::uint64_t base_revision) {
    const auto found =
        std::find_if(history.compressed.begin(), history.compressed.end(), [&](const compressed_version& it) {
            return it.name == name && it.base_revision == base_revision;
        });
    return found == history.compressed.end() ? nullptr : found->bytes;
}

} // namespace lycheegap::gateway
