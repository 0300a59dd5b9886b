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
constexpr std::uint64_t first_retry_pause_ms = 10;
constexpr std::uint64_t max_retry_pause_ms = 500;

/// The control record as read from the store, with the store's revision of it.
struct stored_control {
    membership::control_state state;
    std::uint64_t store_revision{0};
};

void extend_authority_by_store(host_state& host, time_point asked_at) {
    const auto& members = host.control.current->members;
    if (!membership::is_member(members, host.self.name, host.self.incarnation)) {
        return;
    }
    const std::lock_guard guard(host.authority.mutex);
    membership::extend_by_store(host.authority.held, asked_at, authority_length(host));
}

// Records that the store, asked at `asked_at`, reported `version` as its newest, and extends the authority by
// it.
void record_store_confirmation(host_state& host, std::uint64_t version, std::uint64_t store_revision,
                               time_point asked_at) {
    const std::lock_guard guard(host.control.mutex);
    auto& table = host.control;
    table.store_revision = std::max(table.store_revision, store_revision);
    if (version >= table.store_confirmed_version) {
        table.store_confirmed_version = version;
        table.store_confirmation_asked_at = std::max(table.store_confirmation_asked_at, asked_at);
    }
    // A report of an older version says nothing about the current one.
    if (version == table.current->version && version != 0) {
        extend_authority_by_store(host, asked_at);
    }
}

std::optional<stored_control> adopt_stored_value(host_state& host, const transport::store_value& value) {
    const auto bytes = transport::as_bytes(value.data);
    auto state = transport::decode_control(bytes, host.store.address);
    if (!state) {
        log_last_reason("control_invalid");
        return std::nullopt;
    }
    adopt_control(host, *state, schema::bytes(bytes.begin(), bytes.end()));
    record_store_confirmation(host, state->version, value.revision, value.requested_at);
    return stored_control{std::move(*state), value.revision};
}

std::optional<stored_control> read_stored(host_state& host) {
    const auto value = transport::read_value(host.store, control_key);
    if (!value) {
        return std::nullopt;
    }
    return adopt_stored_value(host, *value);
}

std::uint64_t accepted_generation(host_state& host) {
    const std::lock_guard guard(host.control.mutex);
    return host.control.accepted == nullptr ? 0 : host.control.accepted->members.number;
}

bool fits_store_limit(const schema::bytes& encoded) {
    if (encoded.size() <= value_limit_bytes) {
        return true;
    }
    common::fail(
        common::step::validate, "control record",
        fmt::format("{} bytes would pass the store's limit of {}", encoded.size(), value_limit_bytes));
    return false;
}

// Full jitter, so that writers that met in a conflict do not retry at the same time.
void wait_before_retry(int attempt) {
    const auto ceiling = std::min(max_retry_pause_ms, first_retry_pause_ms << std::min(attempt, 10));
    const milliseconds pause(common::random_bits() % (ceiling + 1));
    common::ranked_mutex mutex{common::lock_rank::leaf};
    std::condition_variable_any never_notified;
    std::unique_lock guard(mutex);
    never_notified.wait_until(guard, monotonic::now() + pause, [] { return false; });
}

/// One attempt; empty when it is worth another one.
std::optional<write_result> try_write(host_state& host, const stored_control& stored,
                                      const control_change& change) {
    auto next = change(stored.state);
    if (!next) {
        return write_result{write_state::refused, stored.state.version, stored.state.configuration.revision};
    }
    next->version = stored.state.version + 1;
    membership::raise_floor(next->members, accepted_generation(host));
    auto encoded = transport::encode_control(*next, common::random_bits());
    if (!fits_store_limit(encoded)) {
        return write_result{write_state::refused, stored.state.version, stored.state.configuration.revision};
    }
    const auto asked_at = monotonic::now();
    const auto result = transport::compare_and_swap(host.store, control_key, stored.store_revision,
                                                    transport::as_text(encoded));
    if (result.state != transport::swap_state::written) {
        return std::nullopt;
    }
    const write_result written{write_state::written, next->version, next->configuration.revision};
    adopt_control(host, std::move(*next), std::move(encoded));
    record_store_confirmation(host, written.version, result.revision, asked_at);
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
        record_store_confirmation(host, version, seen, value->requested_at);
        return true;
    }
    return adopt_stored_value(host, *value).has_value();
}

} // namespace lycheegap::host
