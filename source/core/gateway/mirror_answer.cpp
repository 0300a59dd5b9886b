#include "mirror_answer.h"

#include <algorithm>
#include <limits>

#include "core/common/compression.h"
#include "core/schema/peer_codec.h"

namespace lycheegap::gateway {

namespace {

using common::milliseconds;
using common::monotonic;

// Values of the store are smaller.
constexpr std::size_t max_value_bytes = 16U << 20U;
constexpr std::size_t max_list_bytes = 64U << 20U;
// Shorter lists of items are sent as they are.
constexpr std::size_t min_packed_bytes = 4096;

/// Time since `then` in ms, as far as the message's field can hold it.
template <typename Clock>
int age_field(std::chrono::time_point<Clock> then) {
    return static_cast<int>(std::min<std::int64_t>(common::milliseconds_between(then, Clock::now()),
                                                   std::numeric_limits<int>::max()));
}

std::unique_ptr<schema::mirror_item_record_t> to_record(const mirror_item& from) {
    auto made = std::make_unique<schema::mirror_item_record_t>();
    made->key = from.key;
    if (!from.removed) {
        made->value.assign(from.value.begin(), from.value.end());
    }
    made->revision = from.revision;
    made->lease = from.lease;
    made->removed = from.removed;
    return made;
}

/// Whether the items are worth compressing as a whole, as in a snapshot.
bool is_large_list(const std::vector<std::unique_ptr<schema::mirror_item_record_t>>& items) {
    std::size_t bytes = 0;
    for (const auto& it : items) {
        bytes += it->key.size() + it->value.size();
    }
    return bytes >= min_packed_bytes;
}

/// Replaces the items by their compressed list.
void pack_items(schema::mirror_answer_t& answer) {
    schema::mirror_item_list_t list;
    list.items = std::move(answer.items);
    const auto encoded = schema::encode<schema::mirror_item_list>(list);
    const auto packed = common::compress({reinterpret_cast<const char*>(encoded.data()), encoded.size()}, {});
    answer.items = std::move(list.items);
    if (packed) {
        answer.packed_items.assign(packed->begin(), packed->end());
        answer.items.clear();
    }
}

/// Restores the items of a list that `pack_items` made. False when it can't be read.
bool unpack_items(schema::mirror_answer_t& answer, std::string_view peer) {
    const auto* first = reinterpret_cast<const char*>(answer.packed_items.data());
    const auto expanded = common::expand({first, answer.packed_items.size()}, {}, max_list_bytes);
    if (!expanded) {
        return false;
    }
    auto list = schema::decode<schema::mirror_item_list>(
        {reinterpret_cast<const std::byte*>(expanded->data()), expanded->size()}, peer);
    if (!list) {
        return false;
    }
    answer.items = std::move(list->items);
    return true;
}

/// Restores the value of a record. Empty when its base is not at hand or the bytes are damaged.
std::optional<std::string> value_of(const schema::mirror_item_record_t& from, std::string_view peer,
                                    const version_lookup& lookup) {
    const std::string_view bytes(reinterpret_cast<const char*>(from.value.data()), from.value.size());
    if (!from.compressed) {
        return std::string(bytes);
    }
    std::shared_ptr<const std::string> base;
    if (from.base_revision != 0) {
        base = lookup ? lookup(from.key, from.base_revision) : nullptr;
        if (!base) {
            return common::fail(common::step::decode, peer, "a difference from a value that is not kept");
        }
    }
    return common::expand(bytes, base ? std::string_view(*base) : std::string_view(), max_value_bytes);
}

std::optional<mirror_item> to_item(const schema::mirror_item_record_t& from, std::string_view peer,
                                   const version_lookup& lookup) {
    auto value = value_of(from, peer, lookup);
    if (!value) {
        return std::nullopt;
    }
    mirror_item made;
    made.key = from.key;
    made.value = std::move(*value);
    made.revision = from.revision;
    made.lease = from.lease;
    made.removed = from.removed;
    return made;
}

/// Version of `key` that the asking host has and this one still keeps.
value_version base_for(const value_history& history, const mirror_query& query, std::string_view key) {
    const auto held = std::find_if(query.held.begin(), query.held.end(),
                                   [&](const version_name& it) { return it.key == key; });
    if (held == query.held.end()) {
        return {};
    }
    auto value = find_version(history, key, held->revision);
    return value ? value_version{held->revision, std::move(value)} : value_version{};
}

} // namespace

answer_plan plan_answer(const state_mirror& mirror, const mirror_query& query) {
    answer_plan plan;
    plan.update = begin_changes(mirror, query.after);
    plan.accepts_compressed = query.accepts_compressed;
    for (const auto& [key, it] : mirror.items) {
        if (!is_included(plan.update, it, query.after) && !is_later_than_compared(it, query)) {
            continue;
        }
        const auto value =
            query.accepts_compressed ? find_version(mirror.history, key, it.revision) : nullptr;
        if (!value) {
            plan.update.items.push_back(it);
            continue;
        }
        large_value large{plan.update.items.size(), value, base_for(mirror.history, query, key), nullptr};
        large.compressed = find_compressed(mirror.history, {key, it.revision}, large.base.revision);
        plan.large_values.push_back(std::move(large));
        plan.update.items.push_back({key, {}, it.revision, it.lease, it.removed, it.change_revision});
    }
    return plan;
}

std::vector<compressed_version> compress_values(answer_plan& plan) {
    std::vector<compressed_version> made;
    for (auto& it : plan.large_values) {
        if (it.compressed) {
            continue;
        }
        auto bytes = common::compress(*it.value,
                                      it.base.value ? std::string_view(*it.base.value) : std::string_view());
        if (!bytes) {
            continue;
        }
        it.compressed = std::make_shared<const std::string>(std::move(*bytes));
        const auto& item = plan.update.items[it.item];
        made.push_back({{item.key, item.revision}, it.base.revision, it.compressed});
    }
    return made;
}

schema::bytes encode_answer(const answer_plan& plan) {
    schema::mirror_answer_t answer;
    answer.revision = plan.update.revision;
    answer.whole = plan.update.is_snapshot;
    for (const auto& it : plan.update.items) {
        answer.items.push_back(to_record(it));
    }
    for (const auto& it : plan.large_values) {
        auto& record = *answer.items[it.item];
        const auto& sent = it.compressed ? *it.compressed : *it.value;
        record.value.assign(sent.begin(), sent.end());
        record.compressed = it.compressed != nullptr;
        record.base_revision = it.compressed ? it.base.revision : 0;
    }
    if (plan.accepts_compressed && is_large_list(answer.items)) {
        pack_items(answer);
    }
    answer.age = age_field(plan.update.confirmed_at);
    if (plan.update.store_recovered_at) {
        answer.back_age = age_field(*plan.update.store_recovered_at);
    }
    return schema::encode_peer(std::move(answer));
}

std::optional<mirror_update> decode_mirror_answer(schema::byte_view message,
                                                  common::boot_clock::time_point asked_at,
                                                  std::string_view peer, const version_lookup& lookup) {
    auto read = schema::decode<schema::peer_message>(message, peer);
    auto* answer = read ? read->body.Asmirror_answer() : nullptr;
    if (answer == nullptr) {
        return common::fail(common::step::decode, peer, "not a mirror answer");
    }
    if (!answer->packed_items.empty() && !unpack_items(*answer, peer)) {
        return std::nullopt;
    }
    mirror_update update;
    update.revision = answer->revision;
    update.is_snapshot = answer->whole;
    // The age is counted back from when the query was sent, since the answer may have been delayed on its
    // way.
    update.confirmed_at = asked_at - milliseconds{std::max(answer->age, 0)};
    if (answer->back_age >= 0) {
        const auto back_for = common::boot_clock::now() - asked_at + milliseconds{answer->back_age};
        update.store_recovered_at = monotonic::now() - back_for;
    }
    for (const auto& it : answer->items) {
        if (!it) {
            continue;
        }
        auto item = to_item(*it, peer, lookup);
        if (!item) {
            return std::nullopt;
        }
        update.items.push_back(std::move(*item));
    }
    return update;
}

} // namespace lycheegap::gateway
