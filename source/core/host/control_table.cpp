#include "control_table.h"

#include <mutex>

#include "acceptance_watch.h"
#include "core/catalog/in_force.h"
#include "core/common/last_reason.h"
#include "core/common/log.h"
#include "endpoint_use.h"
#include "heartbeats.h"
#include "host_state.h"

namespace lycheegap::host {

namespace {

using common::field;

constexpr std::size_t max_history_versions = 256;

std::shared_ptr<const catalog::configuration> effective_configuration(const control_table& table) {
    const auto& latest = table.current->configuration;
    const bool is_latest_accepted = table.accepted == nullptr ||
                                    table.accepted->version == table.current->version ||
                                    table.accepted->configuration.revision == latest.revision;
    auto applied =
        is_latest_accepted ? latest : catalog::restrict_to_accepted(table.accepted->configuration, latest);
    catalog::exclude_keys(applied, table.withdrawn);
    return std::make_shared<const catalog::configuration>(std::move(applied));
}

void append_history(control_table& table) {
    table.history.push_back({table.current, common::unix_milliseconds()});
    if (table.history.size() > max_history_versions) {
        table.history.pop_front();
    }
}

void record_first_seen(control_table& table) {
    for (const auto& it : table.current->members.members) {
        table.first_seen.try_emplace(it.incarnation, common::monotonic::now());
    }
}

void publish_generation(host_state& host) {
    const std::lock_guard guard(host.membership.mutex);
    const auto& fresh = host.control.current->members;
    if (fresh.number > host.membership.current->number) {
        host.membership.current = std::make_shared<const membership::generation>(fresh);
    }
}

} // namespace

std::shared_ptr<const membership::control_state> current_control(host_state& host) {
    const std::lock_guard guard(host.control.mutex);
    return host.control.current;
}

void publish_control(host_state& host) {
    const auto fresh = effective_configuration(host.control);
    update_services(host, *fresh);
    {
        const std::lock_guard guard(host.catalog.mutex);
        host.catalog.current = fresh;
    }
    publish_generation(host);
}

bool adopt_control(host_state& host, membership::control_state fresh, schema::bytes encoded) {
    const auto version = fresh.version;
    const auto members = fresh.members.members.size();
    const auto revision = fresh.configuration.revision;
    {
        const std::lock_guard guard(host.control.mutex);
        auto& table = host.control;
        if (version <= table.current->version) {
            return false;
        }
        table.current = std::make_shared<const membership::control_state>(std::move(fresh));
        table.encoded = std::move(encoded);
        append_history(table);
        record_first_seen(table);
        if (table.joined_at == common::time_point() &&
            membership::is_member(table.current->members, host.self.name, host.self.incarnation)) {
            table.joined_at = common::monotonic::now();
        }
        record_confirmation(host, host.self.name, host.self.incarnation, version);
        publish_control(host);
    }
    common::log_info("control_taken",
                     {field("version", version), field("revision", revision), field("members", members)});
    send_heartbeats(host);
    return true;
}

common::milliseconds authority_length(const host_state& host) {
    return common::milliseconds(host.settings.authority->length);
}

void log_last_reason(std::string_view event) {
    const auto& why = common::last_reason();
    common::log_warning(event, {field("step", common::step_name(why.failed_step)), field("peer", why.peer),
                                field("reason", why.text)});
}

} // namespace lycheegap::host
