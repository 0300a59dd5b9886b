#include "acceptance_watch.h"

#include <algorithm>
#include <mutex>

#include "core/common/log.h"
#include "host_state.h"

namespace lycheegap::host {

namespace {

using common::field;
using common::monotonic;
using common::time_point;

std::uint64_t accepted_version(const control_table& table) {
    return table.accepted == nullptr ? 0 : table.accepted->version;
}

membership::acceptance weigh(host_state& host, std::uint64_t version) {
    if (version <= accepted_version(host.control)) {
        return {time_point::min(), {}};
    }
    return membership::weigh_acceptance(host.control.current->members, version, host.control.confirmations,
                                        membership::with_drift(authority_length(host)));
}

void accept(host_state& host, const std::shared_ptr<const membership::control_state>& state) {
    auto& table = host.control;
    table.accepted = state;
    // Once members know a newer version, older confirmations say nothing more.
    std::erase_if(table.confirmations,
                  [&](const membership::confirmation& it) { return it.version < state->version; });
    publish_control(host);
    common::log_info("version_accepted",
                     {field("version", state->version), field("revision", state->configuration.revision)});
    table.changed.notify_all();
}

// Looks at the newest version first: it takes all older ones with it.
void accept_what_is_due(host_state& host) {
    const auto now = monotonic::now();
    const auto& history = host.control.history;
    for (auto it = history.rbegin(); it != history.rend(); ++it) {
        const auto version = it->state->version;
        if (version <= accepted_version(host.control)) {
            return;
        }
        if (weigh(host, version).accepted_at <= now) {
            accept(host, it->state);
            return;
        }
    }
}

bool is_known(const control_table& table, std::string_view name, std::uint64_t incarnation,
              std::uint64_t version) {
    return std::any_of(table.confirmations.begin(), table.confirmations.end(),
                       [&](const membership::confirmation& it) {
                           return it.name == name && it.incarnation == incarnation && it.version >= version;
                       });
}

} // namespace

void note_confirmation(host_state& host, std::string_view name, std::uint64_t incarnation,
                       std::uint64_t version) {
    auto& table = host.control;
    // Only the first moment counts, so that a later heartbeat does not begin the wait again.
    if (version >= accepted_version(table) && !is_known(table, name, incarnation, version)) {
        table.confirmations.push_back({std::string(name), incarnation, version, monotonic::now()});
    }
    accept_what_is_due(host);
    table.changed.notify_all();
}

void note_accepted(host_state& host, std::uint64_t version) {
    auto& table = host.control;
    for (auto it = table.history.rbegin(); it != table.history.rend(); ++it) {
        if (it->state->version <= accepted_version(table)) {
            return;
        }
        if (it->state->version <= version) {
            accept(host, it->state);
            return;
        }
    }
}

membership::acceptance acceptance_of(host_state& host, std::uint64_t version) {
    const std::lock_guard guard(host.control.mutex);
    accept_what_is_due(host);
    return weigh(host, version);
}

membership::acceptance wait_for_acceptance(host_state& host, std::uint64_t version, time_point deadline) {
    std::unique_lock guard(host.control.mutex);
    while (true) {
        accept_what_is_due(host);
        auto weighed = weigh(host, version);
        if (weighed.accepted_at <= monotonic::now() || monotonic::now() >= deadline) {
            return weighed;
        }
        host.control.changed.wait_until(guard, std::min(weighed.accepted_at, deadline));
    }
}

} // namespace lycheegap::host
