#include "dump.h"

#include <mutex>

#include "acceptance_watch.h"
#include "core/allowance/home.h"
#include "core/transport/record_codec.h"
#include "host_state.h"

namespace lycheegap::host {

namespace {

void dump_teams(host_state& host, schema::host_dump_t& dump) {
    const auto configuration = current_catalog(host);
    const auto members = current_generation(host);
    const std::lock_guard guard(host.allowances.mutex);
    for (const auto& [name, team] : configuration->teams) {
        auto record = std::make_unique<schema::team_dump_t>();
        const auto* home = allowance::find_home(name, *members);
        record->name = name;
        record->home = home == nullptr ? "" : home->name;
        const auto entry = host.allowances.teams.find(name);
        if (entry != host.allowances.teams.end()) {
            const auto& account = entry->second.home.account;
            record->tokens = account ? account->tokens : 0;
            record->lent = account ? allowance::outstanding(*account) : 0;
            record->held = allowance::held_tokens(entry->second.borrower, common::monotonic::now());
            record->asked = entry->second.token_requests;
            record->waited = entry->second.waiting_requests;
            record->unreachable = entry->second.home_unreachable;
            record->admitted = entry->second.granted;
            record->refused = entry->second.over_rate;
        }
        dump.teams.push_back(std::move(record));
    }
}

void dump_endpoints(host_state& host, schema::host_dump_t& dump) {
    const std::lock_guard guard(host.endpoints.mutex);
    for (const auto& [service, endpoints] : host.endpoints.services) {
        for (const auto& it : endpoints) {
            auto record = std::make_unique<schema::endpoint_dump_t>();
            record->service = service;
            record->name = it.name;
            record->address = it.address;
            record->in_flight = it.in_flight;
            record->connections =
                static_cast<int>(transport::idle_connections(host.endpoint_connections, it.address));
            record->latency_ms = it.latency_ms;
            dump.endpoints.push_back(std::move(record));
        }
    }
}

void dump_peers(host_state& host, schema::host_dump_t& dump) {
    const auto now = common::monotonic::now();
    const std::lock_guard guard(host.membership.mutex);
    for (const auto& [name, it] : host.membership.answers) {
        auto record = std::make_unique<schema::peer_dump_t>();
        record->name = name;
        record->incarnation = it.incarnation;
        record->heard_ms_ago = common::milliseconds_between(it.asked_at, now);
        dump.peers.push_back(std::move(record));
    }
}

void dump_metrics(host_state& host, schema::host_dump_t& dump) {
    for (const auto& it : common::read_metrics(host.metrics)) {
        auto record = std::make_unique<schema::metric_record_t>();
        record->name = it.name;
        record->count = it.count;
        record->mean = it.mean;
        record->maximum = it.maximum;
        if (it.name == "store_calls") {
            dump.store_calls = it.count;
        }
        dump.metrics.push_back(std::move(record));
    }
}

void dump_control(host_state& host, schema::host_dump_t& dump) {
    const auto control = current_control(host);
    dump.control_version = control->version;
    dump.waiting_for = acceptance_of(host, control->version).waiting_for;
    const std::lock_guard guard(host.control.mutex);
    dump.accepted_version = host.control.accepted == nullptr ? 0 : host.control.accepted->version;
    dump.withdrawn_key_count = static_cast<std::int32_t>(host.control.withdrawn.size());
}

std::int64_t authority_left_ms(host_state& host) {
    const std::lock_guard guard(host.authority.mutex);
    return common::milliseconds_between(common::monotonic::now(), host.authority.held.deadline);
}

} // namespace

schema::host_dump_t make_dump(host_state& host) {
    schema::host_dump_t dump;
    dump.self = std::make_unique<schema::member_record_t>(transport::make_record(host.self));
    dump.generation =
        std::make_unique<schema::generation_record_t>(transport::make_record(*current_generation(host)));
    dump.catalog_revision = current_catalog(host)->revision;
    dump.authority_ms_left = authority_left_ms(host);
    dump_control(host, dump);
    dump_teams(host, dump);
    dump_endpoints(host, dump);
    dump_peers(host, dump);
    dump_metrics(host, dump);
    return dump;
}

} // namespace lycheegap::host
