#include "generation_upkeep.h"

#include <mutex>

#include <fmt/format.h>

#include "control_write.h"
#include "core/common/last_reason.h"
#include "core/common/log.h"
#include "core/membership/relays.h"
#include "heartbeats.h"
#include "host_state.h"

namespace lycheegap::host {

namespace {

using common::field;
using common::milliseconds;
using common::monotonic;
using membership::control_state;

constexpr auto join_timeout = milliseconds(10'000);
constexpr auto leave_timeout = milliseconds(3000);
constexpr auto removal_timeout = milliseconds(3000);

bool is_own_member(const host_state& host, const control_state& state) {
    return membership::is_member(state.members, host.self.name, host.self.incarnation);
}

std::optional<control_state> with_generation(const control_state& current, membership::generation next) {
    if (next.number == current.members.number) {
        common::fail(common::step::join, "", "the members are unchanged");
        return std::nullopt;
    }
    auto changed = current;
    changed.members = std::move(next);
    return changed;
}

// Joins only when this incarnation is absent: the stored record may be newer than the one this host knew.
void join(host_state& host) {
    const auto change = [&](const control_state& current) {
        return is_own_member(host, current)
                   ? std::optional<control_state>()
                   : with_generation(current, membership::with_member(current.members, host.self));
    };
    const auto is_done = [&](const control_state& current) { return is_own_member(host, current); };
    const auto result = write_control(host, change, is_done, monotonic::now() + join_timeout);
    if (result.state == write_state::written) {
        common::log_info("joined", {field("version", result.version)});
    }
}

std::vector<std::string> find_removable_members(host_state& host) {
    const auto heartbeat = make_heartbeat(host);
    const auto since = monotonic::now() - authority_length(host);
    std::vector<membership::silence_report> reports;
    const std::lock_guard guard(host.control.mutex);
    for (const auto& [name, it] : host.control.silence_reports) {
        reports.push_back(it);
    }
    return membership::removable_members(host.control.current->members, host.self, heartbeat.silent_hosts,
                                         reports, since);
}

void give_up_authority(host_state& host) {
    const std::lock_guard guard(host.authority.mutex);
    host.authority.given_up = true;
}

bool has_given_up(host_state& host) {
    const std::lock_guard guard(host.authority.mutex);
    return host.authority.given_up;
}

void remove_member(host_state& host, const std::string& name) {
    const auto control = current_control(host);
    const auto* target = membership::find_member(control->members, name);
    if (target == nullptr) {
        return;
    }
    const auto incarnation = target->incarnation;
    const auto change = [&](const control_state& current) {
        return with_generation(current, membership::without_member(current.members, name, incarnation,
                                                                   membership::departure::silent));
    };
    const auto is_done = [&](const control_state& current) {
        return !membership::is_member(current.members, name, incarnation);
    };
    const auto result = write_control(host, change, is_done, monotonic::now() + removal_timeout);
    if (result.state == write_state::written) {
        common::log_warning("member_removed",
                            {field("host", name), field("reason", "reported as silent by most members")});
    }
}

} // namespace

void maintain_membership(host_state& host) {
    if (has_given_up(host)) {
        return;
    }
    if (!is_own_member(host, *current_control(host))) {
        join(host);
        return;
    }
    for (const auto& name : find_removable_members(host)) {
        remove_member(host, name);
    }
}

bool announce_leaving(host_state& host) {
    const auto is_leaving = [&](const control_state& current) {
        const auto* self = membership::find_member(current.members, host.self.name);
        return self == nullptr || self->leaving;
    };
    const auto change = [&](const control_state& current) {
        return is_leaving(current)
                   ? std::optional<control_state>()
                   : with_generation(current, membership::with_leaving(current.members, host.self.name,
                                                                       host.self.incarnation));
    };
    const auto result = write_control(host, change, is_leaving, monotonic::now() + leave_timeout);
    return result.state != write_state::unavailable;
}

void leave_generation(host_state& host) {
    // The record will state that this incarnation gave up its authority, so it must have done so before the
    // write.
    give_up_authority(host);
    const auto change = [&](const control_state& current) {
        return with_generation(
            current, membership::without_member(current.members, host.self.name, host.self.incarnation));
    };
    const auto is_done = [&](const control_state& current) { return !is_own_member(host, current); };
    const auto result = write_control(host, change, is_done, monotonic::now() + leave_timeout);
    if (result.state == write_state::unavailable) {
        log_last_reason("leave_failed");
    }
}

} // namespace lycheegap::host
