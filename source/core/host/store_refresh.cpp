#include "store_refresh.h"

#include <algorithm>
#include <mutex>

#include "control_write.h"
#include "core/catalog/edit.h"
#include "core/common/digest.h"
#include "core/common/last_reason.h"
#include "core/membership/relays.h"
#include "generation_upkeep.h"
#include "host_state.h"
#include "withdrawn_keys.h"

namespace lycheegap::host {

namespace {

using common::milliseconds;
using common::monotonic;
using common::time_point;

constexpr std::int64_t max_backoff_ms = 2000;
constexpr auto store_write_timeout = milliseconds(3000);

bool is_own_relay(host_state& host) {
    const auto since = monotonic::now() - authority_length(host);
    const auto control = current_control(host);
    std::vector<membership::member_answer> answers;
    const std::lock_guard guard(host.membership.mutex);
    for (const auto& [name, it] : host.membership.answers) {
        answers.push_back(it);
    }
    return membership::is_relay(control->members, host.self, answers, since);
}

bool is_authority_low(host_state& host) {
    const std::lock_guard guard(host.authority.mutex);
    return host.authority.held.deadline < monotonic::now() + authority_length(host) / 2;
}

bool needs_store(host_state& host) {
    const auto control = current_control(host);
    const bool member = membership::is_member(control->members, host.self.name, host.self.incarnation);
    return !member || is_own_relay(host) || is_authority_low(host);
}

/// A watch takes only a part of the authority length, since its answer extends the authority from the moment
/// at which the watch began.
bool poll_store(host_state& host) {
    if (current_control(host)->version == 0 || !is_own_relay(host)) {
        return read_control(host);
    }
    return watch_control(host, authority_length(host) / 3);
}

void write_withdrawn_keys(host_state& host) {
    const auto digests = unstored_withdrawn(host);
    if (digests.empty()) {
        return;
    }
    const catalog::edit change = catalog::withdraw_digests{digests};
    const auto apply = [&](const membership::control_state& current) {
        auto next = current;
        auto edited = catalog::apply_edit(current.configuration, change);
        if (!edited) {
            return std::optional<membership::control_state>();
        }
        next.configuration = std::move(*edited);
        return std::optional(std::move(next));
    };
    const auto is_done = [&](const membership::control_state&) { return unstored_withdrawn(host).empty(); };
    write_control(host, apply, is_done, monotonic::now() + store_write_timeout);
}

// Full jitter, so that hosts do not all call the store at once when it comes back.
milliseconds backoff(const host_state& host, int failures) {
    const std::int64_t base = host.settings.store->poll_interval;
    const auto ceiling = std::min(max_backoff_ms, base << std::min(failures, 10));
    return milliseconds(
        1 + static_cast<std::int64_t>(common::random_bits() % static_cast<std::uint64_t>(ceiling)));
}

void refresh(host_state& host, int failures) {
    const milliseconds poll_interval(host.settings.store->poll_interval);
    auto pause = poll_interval;
    if (needs_store(host)) {
        const bool watched = current_control(host)->version != 0 && is_own_relay(host);
        if (poll_store(host)) {
            failures = 0;
            maintain_membership(host);
            write_withdrawn_keys(host);
            pause = watched ? milliseconds(0) : poll_interval;
        } else {
            log_last_reason("store_unread");
            pause = backoff(host, failures++);
        }
    }
    host.workers->submit_at(monotonic::now() + pause, [&host, failures] { refresh(host, failures); });
}

} // namespace

void start_store_refresh(host_state& host) {
    host.workers->submit([&host] { refresh(host, 0); });
}

} // namespace lycheegap::host
