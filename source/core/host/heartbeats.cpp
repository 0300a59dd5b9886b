#include "heartbeats.h"

#include <mutex>

#include "acceptance_watch.h"
#include "core/schema/peer_codec.h"
#include "core/transport/record_codec.h"
#include "host_state.h"
#include "withdrawn_keys.h"

namespace lycheegap::host {

namespace {

using common::milliseconds;
using common::monotonic;
using common::time_point;

constexpr auto fetch_timeout = milliseconds(1000);
/// A member that has not answered for this many authority lengths is reported as silent.
constexpr int silence_authority_lengths = 2;

std::vector<membership::member_answer> all_answers(host_state& host) {
    const std::lock_guard guard(host.membership.mutex);
    std::vector<membership::member_answer> answers;
    for (const auto& [name, it] : host.membership.answers) {
        answers.push_back(it);
    }
    return answers;
}

// A member first seen after `since` has not had the time to answer.
bool is_new(const control_table& table, std::string_view name, time_point since) {
    const auto* it = membership::find_member(table.current->members, name);
    const auto seen = it == nullptr ? table.first_seen.end() : table.first_seen.find(it->incarnation);
    return seen == table.first_seen.end() || seen->second > since;
}

} // namespace

schema::heartbeat_t make_heartbeat(host_state& host) {
    const auto now = monotonic::now();
    const auto answers = all_answers(host);
    schema::heartbeat_t beat;
    beat.host = host.self.name;
    beat.incarnation = host.self.incarnation;
    const std::lock_guard guard(host.control.mutex);
    const auto& table = host.control;
    beat.generation = table.current->members.number;
    beat.catalog_revision = table.current->configuration.revision;
    beat.version = table.current->version;
    beat.accepted_version = table.accepted == nullptr ? 0 : table.accepted->version;
    if (table.store_confirmed_version == table.current->version &&
        table.store_confirmation_asked_at != time_point()) {
        beat.store_age = common::milliseconds_between(table.store_confirmation_asked_at, now) + 1;
    }
    beat.withdrawn_hash = withdrawn_hash(host);
    const auto silence = authority_length(host) * silence_authority_lengths;
    if (table.joined_at != time_point() && now - table.joined_at > silence) {
        beat.silent_hosts =
            membership::unresponsive_members(table.current->members, host.self, answers, now - silence);
        std::erase_if(beat.silent_hosts,
                      [&](const std::string& it) { return is_new(table, it, now - silence); });
    }
    return beat;
}

namespace {

void adopt_relayed_control(host_state& host, schema::byte_view answer, const std::string& address) {
    const auto decoded = schema::decode<schema::peer_message>(answer, address);
    if (!decoded || decoded->body.Asrelay_answer() == nullptr) {
        return;
    }
    const auto& control = decoded->body.Asrelay_answer()->control;
    const auto bytes = std::as_bytes(std::span(control));
    auto state = transport::decode_control(bytes, address);
    if (!state) {
        log_last_reason("control_invalid");
        return;
    }
    adopt_control(host, std::move(*state), schema::bytes(bytes.begin(), bytes.end()));
}

bool begin_fetch(host_state& host, std::uint64_t version) {
    const auto now = monotonic::now();
    const std::lock_guard guard(host.control.mutex);
    auto& table = host.control;
    const bool under_way = table.fetching_version >= version && now < table.fetch_deadline;
    if (version <= table.current->version || under_way) {
        return false;
    }
    table.fetching_version = version;
    table.fetch_deadline = now + fetch_timeout;
    return true;
}

void fetch_control(host_state& host, const std::string& address, std::uint64_t version) {
    if (!begin_fetch(host, version)) {
        return;
    }
    schema::relay_question_t question;
    question.host = host.self.name;
    question.incarnation = host.self.incarnation;
    // The peer thread must not decode a whole catalog, so a worker does.
    const auto reply = [&host, address](std::optional<schema::bytes> answer) {
        if (answer) {
            host.workers->submit([&host, address, bytes = std::move(*answer)] {
                adopt_relayed_control(host, bytes, address);
            });
        }
    };
    host.peers->call(address, schema::encode_peer(std::move(question)), monotonic::now() + fetch_timeout,
                     reply);
}

/// Records the versions and the hash of withdrawn keys of a heartbeat or its answer. The caller holds the
/// control table's lock.
void record_heartbeat(host_state& host, const schema::heartbeat_t& beat) {
    record_accepted(host, beat.accepted_version);
    record_confirmation(host, beat.host, beat.incarnation, beat.version);
    record_withdrawn_hash(host, beat.host, beat.withdrawn_hash);
}

void record_answer(host_state& host, const schema::heartbeat_t& beat, time_point asked_at) {
    const std::lock_guard guard(host.membership.mutex);
    auto& kept = host.membership.answers[beat.host];
    // Answers may arrive out of order; the one to the latest heartbeat is kept.
    if (kept.asked_at <= asked_at || kept.incarnation != beat.incarnation) {
        kept = {beat.host, beat.incarnation, asked_at, beat.version};
    }
}

// Extends this host's authority by a member's answer and by the store's report that the answer relays. The
// caller has checked that both hold the same withdrawn keys; answers from members with a newer version do not
// count.
void extend_authority(host_state& host, const schema::heartbeat_t& beat, time_point asked_at) {
    const auto& table = host.control;
    const auto length = authority_length(host);
    const auto& members = table.current->members;
    const auto answers = all_answers(host);
    const bool is_own_member = membership::is_member(members, host.self.name, host.self.incarnation);
    const std::lock_guard guard(host.authority.mutex);
    auto& held = host.authority.held;
    const membership::own_state self{host.self.name, host.self.incarnation, table.current->version};
    membership::extend_by_members(held, members, self, answers, monotonic::now(), length);
    if (is_own_member && beat.store_age >= 0 && beat.version <= self.version) {
        const auto age = milliseconds(beat.store_age);
        membership::extend_by_store(held, membership::relayed_asked_at(asked_at, age), length);
    }
}

void handle_heartbeat_answer(host_state& host, const schema::heartbeat_t& beat, const std::string& address,
                             time_point asked_at) {
    bool same_withdrawn = false;
    {
        const std::lock_guard guard(host.control.mutex);
        record_heartbeat(host, beat);
        host.control.silence_reports[beat.host] = {beat.host, beat.incarnation, asked_at, beat.silent_hosts};
        same_withdrawn = beat.withdrawn_hash == withdrawn_hash(host);
        if (same_withdrawn) {
            record_answer(host, beat, asked_at);
            extend_authority(host, beat, asked_at);
        }
    }
    if (!same_withdrawn) {
        exchange_withdrawn(host, address);
    }
    fetch_control(host, address, beat.version);
}

void handle_heartbeat_reply(host_state& host, schema::byte_view message, const std::string& address,
                            time_point asked_at) {
    const auto decoded = schema::decode<schema::peer_message>(message, address);
    const auto* answer = decoded ? decoded->body.Asheartbeat_answer() : nullptr;
    if (answer != nullptr && answer->beat != nullptr) {
        handle_heartbeat_answer(host, *answer->beat, address, asked_at);
    }
}

std::string address_of(host_state& host, std::string_view name) {
    const auto control = current_control(host);
    const auto* it = membership::find_member(control->members, name);
    return it == nullptr ? std::string() : it->peer_address;
}

} // namespace

void send_heartbeats(host_state& host) {
    const auto control = current_control(host);
    const auto encoded = schema::encode_peer(make_heartbeat(host));
    const auto asked_at = monotonic::now();
    for (const auto& it : control->members.members) {
        if (it.name == host.self.name) {
            continue;
        }
        const auto reply = [&host, asked_at, address = it.peer_address](std::optional<schema::bytes> answer) {
            if (answer) {
                handle_heartbeat_reply(host, *answer, address, asked_at);
            }
        };
        host.peers->call(it.peer_address, encoded, asked_at + authority_length(host), reply);
    }
    const std::lock_guard guard(host.control.mutex);
    record_confirmation(host, host.self.name, host.self.incarnation, host.control.current->version);
    update_knows_withdrawn(host);
}

schema::bytes handle_heartbeat(host_state& host, const schema::heartbeat_t& beat) {
    {
        const std::lock_guard guard(host.control.mutex);
        record_heartbeat(host, beat);
    }
    schema::heartbeat_answer_t answer;
    answer.beat = std::make_unique<schema::heartbeat_t>(make_heartbeat(host));
    const auto address = address_of(host, beat.host);
    if (!address.empty()) {
        fetch_control(host, address, beat.version);
    }
    return schema::encode_peer(std::move(answer));
}

schema::bytes handle_relay_question(host_state& host) {
    schema::relay_answer_t answer;
    answer.host = host.self.name;
    {
        const std::lock_guard guard(host.control.mutex);
        const auto* first = reinterpret_cast<const std::uint8_t*>(host.control.encoded.data());
        answer.control.assign(first, first + host.control.encoded.size());
    }
    return schema::encode_peer(std::move(answer));
}

} // namespace lycheegap::host
