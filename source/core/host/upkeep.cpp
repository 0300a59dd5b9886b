#include "upkeep.h"

#include <mutex>

#include "core/common/last_reason.h"
#include "core/common/log.h"
#include "core/schema/generated/peer_generated.h"
#include "core/transport/record_codec.h"
#include "endpoint_use.h"
#include "host_state.h"
#include "periodic.h"
#include "store_keys.h"

namespace lycheegap::host {

namespace {

using common::field;
using common::milliseconds;
using common::monotonic;

constexpr int swap_attempts = 5;
constexpr milliseconds outcome_sweep_interval(1000);

milliseconds authority_length(const host_state& host) {
    return milliseconds(host.settings.authority->length);
}

void log_last_reason(std::string_view event) {
    const auto& why = common::last_reason();
    common::log_warning(event, {field("step", common::step_name(why.at)), field("peer", why.peer),
                                field("reason", why.text)});
}

void extend_authority(host_state& host, common::time_point asked_at) {
    const std::lock_guard guard(host.authority.mutex);
    membership::extend_by_store(host.authority.held, asked_at, authority_length(host));
}

bool take_catalog(host_state& host, std::shared_ptr<const catalog::configuration> fresh,
                  std::uint64_t store_revision) {
    const std::lock_guard guard(host.catalog.mutex);
    if (fresh->revision < host.catalog.current->revision) {
        return false;
    }
    host.catalog.current = std::move(fresh);
    host.catalog.store_revision = store_revision;
    return true;
}

std::optional<catalog::configuration> decode_catalog(const host_state& host, std::string_view data) {
    const auto record = schema::decode<schema::catalog_record>(transport::as_bytes(data), host.store.address);
    if (!record) {
        return std::nullopt;
    }
    return transport::parse_configuration(*record);
}

std::uint64_t seen_catalog(host_state& host) {
    const std::lock_guard guard(host.catalog.mutex);
    return host.catalog.store_revision;
}

void refresh_catalog(host_state& host) {
    const auto value = transport::read_value(host.store, catalog_key);
    if (!value) {
        log_last_reason("catalog_unread");
        return;
    }
    if (value->revision != seen_catalog(host) && !value->data.empty()) {
        auto parsed = decode_catalog(host, value->data);
        if (!parsed) {
            log_last_reason("catalog_invalid");
            return;
        }
        const auto fresh = std::make_shared<const catalog::configuration>(std::move(*parsed));
        take_services(host, *fresh);
        if (take_catalog(host, fresh, value->revision)) {
            common::log_info("catalog_taken", {field("revision", fresh->revision)});
        }
    }
    extend_authority(host, value->asked_at);
}

std::optional<membership::generation> decode_generation(const host_state& host, std::string_view data) {
    if (data.empty()) {
        return membership::generation{};
    }
    const auto record =
        schema::decode<schema::generation_record>(transport::as_bytes(data), host.store.address);
    if (!record) {
        return std::nullopt;
    }
    return transport::parse_generation(*record);
}

void take_generation(host_state& host, const membership::generation& fresh, std::uint64_t store_revision) {
    const std::lock_guard guard(host.membership.mutex);
    if (fresh.number <= host.membership.current->number) {
        return;
    }
    host.membership.current = std::make_shared<const membership::generation>(fresh);
    host.membership.store_revision = store_revision;
    common::log_info("generation_taken",
                     {field("number", fresh.number), field("members", fresh.members.size())});
}

std::string encode_generation(const membership::generation& source) {
    const auto encoded = schema::encode<schema::generation_record>(transport::make_record(source));
    return std::string(transport::as_text(encoded));
}

void write_generation(host_state& host, const membership::generation& next, std::uint64_t store_revision) {
    const auto result =
        transport::compare_and_swap(host.store, generation_key, store_revision, encode_generation(next));
    if (result.state == transport::swap_state::written) {
        take_generation(host, next, result.revision);
    }
}

void refresh_generation(host_state& host) {
    const auto value = transport::read_value(host.store, generation_key);
    if (!value) {
        return;
    }
    const auto current = decode_generation(host, value->data);
    if (!current) {
        log_last_reason("generation_invalid");
        return;
    }
    take_generation(host, *current, value->revision);
    if (!membership::is_member(*current, host.self.name, host.self.incarnation)) {
        write_generation(host, membership::with_member(*current, host.self), value->revision);
    }
}

void take_heartbeat_answer(host_state& host, schema::byte_view message, common::time_point asked_at) {
    const auto decoded = schema::decode<schema::peer_message>(message, "heartbeat");
    if (!decoded || decoded->body.Asheartbeat_answer() == nullptr) {
        return;
    }
    const auto& answer = *decoded->body.Asheartbeat_answer();
    const std::lock_guard guard(host.membership.mutex);
    host.membership.answers[answer.host] = {answer.host, answer.incarnation, asked_at,
                                            answer.catalog_revision, answer.generation};
}

schema::bytes encode_heartbeat(host_state& host) {
    schema::heartbeat_t beat;
    beat.host = host.self.name;
    beat.incarnation = host.self.incarnation;
    beat.generation = current_generation(host)->number;
    beat.catalog_revision = current_catalog(host)->revision;
    schema::peer_message_t message;
    message.body.Set(std::move(beat));
    return schema::encode<schema::peer_message>(message);
}

void send_heartbeats(host_state& host) {
    const auto members = current_generation(host);
    const auto message = encode_heartbeat(host);
    const auto asked_at = monotonic::now();
    for (const auto& it : members->members) {
        if (it.name == host.self.name) {
            continue;
        }
        host.peers->call(it.peer_address, message, asked_at + authority_length(host),
                         [&host, asked_at](const std::optional<schema::bytes>& answer) {
                             if (answer) {
                                 take_heartbeat_answer(host, *answer, asked_at);
                             }
                         });
    }
}

} // namespace

void start_upkeep(host_state& host) {
    const milliseconds poll(host.settings.store->poll_interval);
    const milliseconds beat(host.settings.peers->heartbeat_interval);
    start_periodic(host, poll, &refresh_catalog);
    start_periodic(host, poll, &refresh_generation);
    start_periodic(host, beat, &send_heartbeats);
    start_periodic(host, outcome_sweep_interval, &sweep_outcomes);
}

void leave_generation(host_state& host) {
    for (int n = 0; n < swap_attempts; ++n) {
        const auto value = transport::read_value(host.store, generation_key);
        const auto current = value ? decode_generation(host, value->data) : std::nullopt;
        if (!current || !membership::is_member(*current, host.self.name, host.self.incarnation)) {
            return;
        }
        const auto next = membership::without_member(*current, host.self.name, host.self.incarnation);
        const auto result =
            transport::compare_and_swap(host.store, generation_key, value->revision, encode_generation(next));
        if (result.state == transport::swap_state::written) {
            return;
        }
    }
    log_last_reason("leave_failed");
}

} // namespace lycheegap::host
