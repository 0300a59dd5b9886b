#include "gateway_state.h"

#include <algorithm>
#include <mutex>

#include "core/common/log.h"
#include "core/common/store_revision.h"

namespace lycheegap::gateway {

namespace {

using common::field;
using common::monotonic;

constexpr common::milliseconds one_second{1000};

/// Hosts that joined and left with one change of the fleet.
struct fleet_update {
    std::vector<std::string> joined;
    std::vector<std::string> left;
    /// Number of hosts after it.
    std::size_t hosts{0};
};

void log_update(const fleet_update& update) {
    for (const auto& name : update.joined) {
        common::log_info("host_joined", {field("host", name), field("hosts", update.hosts)});
    }
    for (const auto& name : update.left) {
        common::log_info("host_left", {field("host", name), field("hosts", update.hosts)});
    }
}

/// Replaces the fleet's view by one with the changes; the caller holds the lock of the table.
fleet_update change_fleet(gateway_state& state, std::vector<traffic::member_change> changes,
                          common::time_point now) {
    fleet_update update;
    if (changes.empty()) {
        return update;
    }
    for (const auto& it : changes) {
        if (it.member) {
            update.joined.push_back(it.name);
        }
    }
    auto next = std::make_shared<fleet_view>(*state.fleet.view);
    update.left = traffic::change_members(*next, std::move(changes), state.options.host, now);
    update.hosts = next->names.size();
    state.fleet.view = std::move(next);
    return update;
}

std::string_view change_name(traffic::endpoint_change change) {
    switch (change) {
    case traffic::endpoint_change::added:
        return "added";
    case traffic::endpoint_change::replaced:
        return "replaced";
    case traffic::endpoint_change::updated:
        return "updated";
    case traffic::endpoint_change::none:
        break;
    }
    return "none";
}

/// The longest cold time of all services.
common::milliseconds longest_cold_time(gateway_state& state) {
    const auto config = current_configuration(state);
    common::milliseconds longest{0};
    if (config) {
        for (const auto& [name, it] : config->services) {
            longest = std::max(longest, it.cold_time);
        }
    }
    return longest;
}

/// Time until which the store is known to confirm nothing to any host; the epoch if it is not.
common::boot_clock::time_point known_outage_end(gateway_state& state) {
    // Hosts that left lately count on: a host that sees few members must not need fewer witnesses.
    const auto hosts = traffic::sharing_hosts(*current_fleet(state));
    if (hosts == 0) {
        return {};
    }
    const std::lock_guard guard(state.mirror.mutex);
    const auto known = traffic::outage_known_until(state.mirror.outage, hosts, common::boot_clock::now());
    return known.value_or(common::boot_clock::time_point{});
}

} // namespace

std::shared_ptr<const traffic::configuration> current_configuration(gateway_state& state) {
    const std::lock_guard guard(state.routing.mutex);
    return state.routing.config;
}

std::shared_ptr<const fleet_view> current_fleet(gateway_state& state) {
    const std::lock_guard guard(state.fleet.mutex);
    return state.fleet.view;
}

common::boot_clock::time_point mirror_confirmed_at(gateway_state& state) {
    const std::lock_guard guard(state.mirror.mutex);
    return state.mirror.mirror.confirmed_at;
}

common::boot_clock::time_point membership_valid_until(gateway_state& state) {
    return std::max(mirror_confirmed_at(state) + traffic::membership_validity, known_outage_end(state));
}

common::boot_clock::time_point home_valid_until(gateway_state& state) {
    const common::boot_clock::time_point registered_until{
        common::boot_clock::duration(state.registered_until.load())};
    const auto confirmed = mirror_confirmed_at(state) + traffic::membership_validity;
    return std::max(std::min<common::boot_clock::time_point>(confirmed, registered_until),
                    known_outage_end(state));
}

void note_outage_witness(gateway_state& state, std::string_view host,
                         common::boot_clock::time_point asked_at) {
    const std::lock_guard guard(state.mirror.mutex);
    traffic::note_witness(state.mirror.outage, host, asked_at);
}

traffic::membership_knowledge membership_knowledge_of(gateway_state& state, const fleet_view& fleet) {
    const auto valid_for = membership_valid_until(state) - common::boot_clock::now();
    return {state.options.host, &fleet, monotonic::now() + valid_for};
}

bool is_ready(gateway_state& state) {
    if (state.stopping || !current_configuration(state)) {
        return false;
    }
    const std::lock_guard guard(state.endpoints.mutex);
    return !state.endpoints.set.by_id.empty();
}

bool apply_configuration(gateway_state& state, const std::shared_ptr<const traffic::configuration>& newer) {
    std::int64_t before = 0;
    {
        const std::lock_guard guard(state.routing.mutex);
        before = state.routing.config ? state.routing.config->version : 0;
        // A delayed read may return an older version than the one in force.
        if (state.routing.config && newer->version <= before) {
            return false;
        }
        state.routing.config = newer;
        state.routing.current_weights.clear();
    }
    common::log_info("configuration_in_force",
                     {field("version", newer->version), field("before", before),
                      field("routes", newer->routes.size()), field("teams", newer->teams.size())});
    return true;
}

void apply_endpoint(gateway_state& state, traffic::endpoint_entry entry) {
    const auto known = entry;
    auto change = traffic::endpoint_change::none;
    {
        const std::lock_guard guard(state.endpoints.mutex);
        change = traffic::put_endpoint(state.endpoints.set, std::move(entry), monotonic::now());
    }
    if (change == traffic::endpoint_change::none) {
        return;
    }
    common::log_info("endpoint_changed",
                     {field("endpoint", known.id), field("change", change_name(change)),
                      field("service", known.service), field("address", known.address),
                      field("domain", known.domain), field("leaving", known.leaving),
                      field("slots", known.slots), field("cold_ms", known.cold_remaining.count()),
                      field("revision", common::number_of(known.revision))});
}

void drop_endpoint(gateway_state& state, std::string_view id, std::optional<common::time_point> due) {
    bool removed = false;
    bool scheduled = false;
    {
        const std::lock_guard guard(state.endpoints.mutex);
        if (due) {
            scheduled = traffic::remove_endpoint_later(state.endpoints.set, id, *due);
        } else {
            removed = traffic::remove_endpoint(state.endpoints.set, id, monotonic::now());
        }
    }
    if (removed || scheduled) {
        common::log_info("endpoint_gone", {field("endpoint", id), field("at_once", removed)});
    }
}

void set_domain_vacated(gateway_state& state, std::string_view domain, bool vacated) {
    const auto cold_time = longest_cold_time(state);
    {
        const std::lock_guard guard(state.endpoints.mutex);
        traffic::set_vacated(state.endpoints.set, domain, vacated, monotonic::now(), cold_time);
    }
    common::log_info("domain_vacated", {field("domain", domain), field("vacated", vacated),
                                        field("cold_ms", vacated ? 0 : cold_time.count())});
}

void end_vacating_later(gateway_state& state, std::string_view domain, common::time_point due) {
    const std::lock_guard guard(state.endpoints.mutex);
    traffic::end_vacating_later(state.endpoints.set, domain, due);
}

void expire_vacated_domains(gateway_state& state) {
    std::vector<std::string> due;
    {
        const std::lock_guard guard(state.endpoints.mutex);
        due = traffic::take_due_vacating_ends(state.endpoints.set, monotonic::now());
    }
    for (const auto& domain : due) {
        set_domain_vacated(state, domain, false);
    }
}

void apply_members(gateway_state& state, std::vector<traffic::member_change> changes,
                   common::time_point removal_not_before) {
    const auto now = monotonic::now();
    fleet_update update;
    {
        const std::lock_guard guard(state.fleet.mutex);
        auto& removals_due = state.fleet.removals_due;
        for (const auto& it : changes) {
            removals_due.erase(it.name);
            if (!it.member && removal_not_before > now) {
                removals_due.emplace(it.name, removal_not_before);
            }
        }
        std::erase_if(changes, [&](const auto& it) { return removals_due.contains(it.name); });
        update = change_fleet(state, std::move(changes), now);
    }
    log_update(update);
}

void apply_member(gateway_state& state, traffic::fleet_member member) {
    auto name = member.name;
    apply_members(state, {{std::move(name), std::move(member)}}, {});
}

void expire_members(gateway_state& state) {
    const auto now = monotonic::now();
    fleet_update update;
    {
        // One lock for all of it: a host that registers again meanwhile must not be removed.
        const std::lock_guard guard(state.fleet.mutex);
        std::vector<traffic::member_change> due;
        std::erase_if(state.fleet.removals_due, [&](const auto& it) {
            if (it.second <= now) {
                due.push_back({it.first, std::nullopt});
            }
            return it.second <= now;
        });
        update = change_fleet(state, std::move(due), now);
        if (traffic::has_expired_former(*state.fleet.view, now)) {
            auto next = std::make_shared<fleet_view>(*state.fleet.view);
            traffic::forget_former(*next, now);
            state.fleet.view = std::move(next);
        }
    }
    log_update(update);
}

std::optional<traffic::stop_plan> current_stop_plan(gateway_state& state) {
    const std::lock_guard guard(state.stop.mutex);
    return state.stop.plan;
}

bool may_log(gateway_state& state) {
    bool allowed = false;
    {
        const std::lock_guard guard(state.rates.mutex);
        allowed = traffic::try_record_event(state.rates.log_lines, monotonic::now(), one_second,
                                            state.options.log_lines_per_second);
    }
    if (!allowed) {
        common::count(state.metrics, "log_lines_dropped");
    }
    return allowed;
}

} // namespace lycheegap::gateway
