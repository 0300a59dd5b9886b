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

membership::acceptance evaluate_acceptance(host_state& host, std::uint64_t version) {
    if (version <= accepted_version(host.control)) {
        return {time_point::min(), {}};
    }
    return membership::evaluate_acceptance(host.control.current->members, version, host.control.confirmations,
                                           membership::add_clock_drift(authority_length(host)));
}

void accept_version(host_state& host, const std::shared_ptr<const membership::control_state>& state) {
    auto& table = host.control;
    table.accepted = state;
    // Confirmations of versions older than the accepted one are no longer needed.
    std::erase_if(table.confirmations,
                  [&](const membership::confirmation& it) { return it.version < state->version; });
    publish_control(host);
    common::log_info("version_accepted",
                     {field("version", state->version), field("revision", state->configuration.revision)});
    table.changed.notify_all();
}

// Newest first: when a version is accepted, so are all older ones.
void accept_due_versions(host_state& host) {
    const auto now = monotonic::now();
    const auto& history = host.control.history;
    for (auto it = history.rbegin(); it != history.rend(); ++it) {
        const auto version = it->state->version;
        if (version <= accepted_version(host.control)) {
            return;
        }
        if (evaluate_acceptance(host, version).accepted_at <= now) {
            accept_version(host, it->state);
            return;
        }
    }
}

bool is_confirmed(const control_table& table, std::string_view name, std::uint64_t incarnation,
                  std::uint64_t version) {
    return std::any_of(table.confirmations.begin(), table.confirmations.end(),
                       [&](const membership::confirmation& it) {
                           return it.name == name && it.incarnation == incarnation && it.version >= version;
                       });
}

} // namespace

void record_confirmation(host_state& host, std::string_view name, std::uint64_t incarnation,
                         std::uint64_t version) {
    auto& table = host.control;
    // Only the first confirmation counts, so that later heartbeats do not restart the wait for acceptance.
    if (version >= accepted_version(table) && !is_confirmed(table, name, incarnation, version)) {
        table.confirmations.push_back({std::string(name), incarnation, version, monotonic::now()});
    }
    accept_due_versions(host);
    table.changed.notify_all();
}

void record_accepted(host_state& host, std::uint64_t version) {
    auto& table = host.control;
    for (auto it = table.history.rbegin(); it != table.history.rend(); ++it) {
        if (it->state->version <= accepted_version(table)) {
            return;
        }
        if (it->state->version <= version) {
            accept_version(host, it->state);
            return;
        }
    }
}

membership::acceptance acceptance_of(host_state& host, std::uint64_t version) {
    const std::lock_guard guard(host.control.mutex);
    accept_due_versions(host);
    return evaluate_acceptance(host, version);
}

membership::acceptance wait_for_acceptance(host_state& host, std::uint64_t version, time_point deadline) {
    std::unique_lock guard(host.control.mutex);
    while (true) {
        accept_due_versions(host);
        auto result = evaluate_acceptance(host, version);
        if (result.accepted_at <= monotonic::now() || monotonic::now() >= deadline) {
            return result;
        }
        host.control.changed.wait_until(guard, std::min(result.accepted_at, deadline));
    }
}

} // namespace lycheegap::host
