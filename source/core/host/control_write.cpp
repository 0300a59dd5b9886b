#include "control_write.h"

#include <algorithm>
#include <condition_variable>
#include <mutex>

#include <fmt/format.h>

#include "core/common/digest.h"
#include "core/common/last_reason.h"
#include "core/transport/record_codec.h"
#include "host_state.h"
#include "store_keys.h"

namespace lycheegap::host {

namespace {

using common::milliseconds;
using common::monotonic;
using common::time_point;

/// Limit of one value of the platform's store.
constexpr std::size_t value_limit_bytes = 1U << 20U;
constexpr std::uint64_t retry_base_ms = 10;
constexpr std::uint64_t retry_ceiling_ms = 500;

/// The record as the store holds it.
struct stored_control {
    membership::control_state state;
    std::uint64_t store_revision{0};
};

void extend_by_word(host_state& host, time_point asked_at) {
    const auto& members = host.control.current->members;
    if (!membership::is_member(members, host.self.name, host.self.incarnation)) {
        return;
    }
    const std::lock_guard guard(host.authority.mutex);
    membership::extend_by_store(host.authority.held, asked_at, authority_length(host));
}

// The store said at some moment after `asked_at` that `version` was the newest.
void take_word(host_state& host, std::uint64_t version, std::uint64_t store_revision, time_point asked_at) {
    const std::lock_guard guard(host.control.mutex);
    auto& table = host.control;
    table.store_revision = std::max(table.store_revision, store_revision);
    if (version >= table.word_version) {
        table.word_version = version;
        table.word_asked_at = std::max(table.word_asked_at, asked_at);
    }
    // An older version than the one held is no word about it.
    if (version == table.current->version && version != 0) {
        extend_by_word(host, asked_at);
    }
}

std::optional<stored_control> take_value(host_state& host, const transport::store_value& value) {
    const auto bytes = transport::as_bytes(value.data);
    auto state = transport::decode_control(bytes, host.store.address);
    if (!state) {
        log_last_reason("control_invalid");
        return std::nullopt;
    }
    take_control(host, *state, schema::bytes(bytes.begin(), bytes.end()));
    take_word(host, state->version, value.revision, value.asked_at);
    return stored_control{std::move(*state), value.revision};
}

std::optional<stored_control> read_stored(host_state& host) {
    const auto value = transport::read_value(host.store, control_key);
    if (!value) {
        return std::nullopt;
    }
    return take_value(host, *value);
}

std::uint64_t settled_generation(host_state& host) {
    const std::lock_guard guard(host.control.mutex);
    return host.control.accepted == nullptr ? 0 : host.control.accepted->members.number;
}

bool fits(const schema::bytes& encoded) {
    if (encoded.size() <= value_limit_bytes) {
        return true;
    }
    common::fail(
        common::step::validate, "control record",
        fmt::format("{} bytes would pass the store's limit of {}", encoded.size(), value_limit_bytes));
    return false;
}

// Full jitter, so that writers that met once do not meet again.
void wait_before_retry(int attempt) {
    const auto ceiling = std::min(retry_ceiling_ms, retry_base_ms << std::min(attempt, 10));
    const milliseconds pause(common::system_random() % (ceiling + 1));
    common::ranked_mutex mutex{common::lock_rank::leaf};
    std::condition_variable_any never;
    std::unique_lock guard(mutex);
    never.wait_until(guard, monotonic::now() + pause, [] { return false; });
}

/// One try; empty when another one may do better.
std::optional<write_result> try_write(host_state& host, const stored_control& stored,
                                      const control_change& change) {
    auto next = change(stored.state);
    if (!next) {
        return write_result{write_state::refused, stored.state.version, stored.state.configuration.revision};
    }
    next->version = stored.state.version + 1;
    membership::raise_floor(next->members, settled_generation(host));
    auto encoded = transport::encode_control(*next, common::system_random());
    if (!fits(encoded)) {
        return write_result{write_state::refused, stored.state.version, stored.state.configuration.revision};
    }
    const auto asked_at = monotonic::now();
    const auto result = transport::compare_and_swap(host.store, control_key, stored.store_revision,
                                                    transport::as_text(encoded));
    if (result.state != transport::swap_state::written) {
        return std::nullopt;
    }
    const write_result written{write_state::written, next->version, next->configuration.revision};
    take_control(host, std::move(*next), std::move(encoded));
    take_word(host, written.version, result.revision, asked_at);
    return written;
}

} // namespace

write_result write_control(host_state& host, const control_change& change, const change_check& is_done,
                           time_point deadline) {
    for (int n = 0; monotonic::now() < deadline; ++n) {
        if (n > 0) {
            wait_before_retry(n);
        }
        const auto stored = read_stored(host);
        if (!stored) {
            return {};
        }
        if (n > 0 && is_done(stored->state)) {
            return {write_state::written, stored->state.version, stored->state.configuration.revision};
        }
        if (const auto result = try_write(host, *stored, change)) {
            return *result;
        }
    }
    return {};
}

bool read_control(host_state& host) {
    return read_stored(host).has_value();
}

bool watch_control(host_state& host, milliseconds wait) {
    std::uint64_t seen = 0;
    {
        const std::lock_guard guard(host.control.mutex);
        seen = host.control.store_revision;
    }
    const auto value = transport::watch_value(host.store, control_key, seen, wait);
    if (!value) {
        return false;
    }
    if (value->revision == seen && seen != 0) {
        const auto version = current_control(host)->version;
        take_word(host, version, seen, value->asked_at);
        return true;
    }
    return take_value(host, *value).has_value();
}

} // namespace lycheegap::host
