#pragma once

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "core/schema/codec.h"
#include "state_mirror.h"

namespace lycheegap::gateway {

/// A large value of an answer.
struct large_value {
    /// Index of its item in the answer's update, which holds no value for it.
    std::size_t item{0};
    std::shared_ptr<const std::string> value;
    /// Version that the asking host has; without one, `base.value` is null and its revision 0.
    value_version base;
    /// Compressed form; null until `compress_values` has made it.
    std::shared_ptr<const std::string> compressed;
};

/// Contents of an answer before they are encoded.
struct answer_plan {
    mirror_update update;
    /// The asking host reads compressed values and item lists.
    bool accepts_compressed{false};
    std::vector<large_value> large_values;
};

/// Collects what has changed since `query.after`. Large values are only referred to, so that the mirror's
/// lock is held briefly.
answer_plan plan_answer(const state_mirror& mirror, const mirror_query& query);

/// Compresses the large values that the history had no compressed form of, and returns the new forms. To be
/// called without the mirror's lock.
std::vector<compressed_version> compress_values(answer_plan& plan);

/// Encodes the message. To be called after `compress_values`.
schema::bytes encode_answer(const answer_plan& plan);

/// Finds a version of a value that this host named in its question; null if it is no longer kept.
using version_lookup =
    std::function<std::shared_ptr<const std::string>(std::string_view key, std::uint64_t revision)>;

/// Decodes the answer to a mirror query that was sent at `asked_at`. Empty when the message is something
/// else or holds a difference from a version that `lookup` does not find.
std::optional<mirror_update> decode_mirror_answer(schema::byte_view message,
                                                  common::boot_clock::time_point asked_at,
                                                  std::string_view peer, const version_lookup& lookup = {});

} // namespace lycheegap::gateway
