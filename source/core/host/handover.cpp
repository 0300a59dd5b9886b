#include "handover.h"

#include <algorithm>
#include <mutex>

#include "core/common/digest.h"
#include "core/common/log.h"
#include "core/schema/codec.h"
#include "core/schema/peer_codec.h"
#include "header_codec.h"
#include "host_state.h"

namespace lycheegap::host {

namespace {

using common::field;
using common::monotonic;
using execution::outcome_state;

/// Far below the size limit of a peer message.
constexpr std::size_t max_part_bytes = 512U << 10U;
constexpr auto handover_message_timeout = common::milliseconds(2000);
constexpr std::size_t max_successors_tried = 4;

std::unique_ptr<schema::outcome_record_t> make_outcome(const execution::request_id& id,
                                                       const execution::outcome_entry& entry) {
    auto record = std::make_unique<schema::outcome_record_t>();
    record->request_id = execution::format_request_id(id);
    record->state = static_cast<std::int8_t>(entry.state);
    record->fingerprint = entry.fingerprint;
    record->team = entry.team;
    record->status = entry.answer.status;
    record->headers = make_headers(entry.answer.headers);
    record->body = to_octets(entry.answer.body);
    return record;
}

std::size_t size_of(const schema::outcome_record_t& record) {
    std::size_t n = sizeof record + record.request_id.size() + record.team.size() + record.body.size();
    for (const auto& it : record.headers) {
        n += it->name.size() + it->value.size();
    }
    return n;
}

/// Splits one memory into messages of bounded size. An empty memory gives one message too, so that the
/// successor knows of it.
std::vector<schema::outcome_handover_t> make_parts(const host_state& host,
                                                   const execution::outcome_memory& memory) {
    const auto empty_part = [&] {
        schema::outcome_handover_t part;
        part.host = host.self.name;
        part.incarnation = memory.incarnation;
        part.age = common::milliseconds_between(memory.started_at, monotonic::now());
        return part;
    };
    std::vector<schema::outcome_handover_t> parts;
    parts.push_back(empty_part());
    std::size_t n = 0;
    for (const auto& [id, entry] : memory.entries) {
        auto record = make_outcome(id, entry);
        n += size_of(*record);
        if (n > max_part_bytes) {
            parts.push_back(empty_part());
            n = size_of(*record);
        }
        parts.back().outcomes.push_back(std::move(record));
    }
    return parts;
}

std::vector<schema::outcome_handover_t> close_and_export(host_state& host) {
    std::vector<schema::outcome_handover_t> parts;
    const std::lock_guard guard(host.outcomes.mutex);
    for (auto& [incarnation, memory] : host.outcomes.memories) {
        execution::close_memory(memory, monotonic::now());
        for (auto& it : make_parts(host, memory)) {
            parts.push_back(std::move(it));
        }
    }
    return parts;
}

bool send_part(host_state& host, const membership::member& target, schema::outcome_handover_t part) {
    const auto answer = host.peers->call_and_wait(target.peer_address, schema::encode_peer(std::move(part)),
                                                  monotonic::now() + handover_message_timeout);
    const auto decoded =
        answer ? schema::decode<schema::peer_message>(*answer, target.peer_address) : std::nullopt;
    const auto* confirmation = decoded ? decoded->body.Asoutcome_handover_answer() : nullptr;
    return confirmation != nullptr && confirmation->taken;
}

bool send_all(host_state& host, const membership::member& target,
              const std::vector<schema::outcome_handover_t>& parts) {
    return std::all_of(parts.begin(), parts.end(),
                       [&](const auto& part) { return send_part(host, target, part); });
}

/// Other members that are not leaving, those of this region first.
std::vector<membership::member> successor_candidates(host_state& host) {
    std::vector<membership::member> chosen;
    const auto members = current_generation(host);
    for (const auto& it : members->members) {
        if (it.incarnation != host.self.incarnation && !it.leaving) {
            chosen.push_back(it);
        }
    }
    std::stable_partition(chosen.begin(), chosen.end(),
                          [&](const auto& it) { return it.region == host.self.region; });
    return chosen;
}

/// Tells all members that stay which incarnation took over; does not wait for their answers.
void announce_successor(host_state& host, const std::vector<schema::outcome_handover_t>& parts,
                        std::uint64_t successor) {
    const auto members = successor_candidates(host);
    for (const auto& part : parts) {
        schema::outcome_handover_t notice;
        notice.host = host.self.name;
        notice.incarnation = part.incarnation;
        notice.successor = successor;
        const auto encoded = schema::encode_peer(std::move(notice));
        for (const auto& member : members) {
            host.peers->call(member.peer_address, encoded, monotonic::now() + handover_message_timeout,
                             [](const auto& /*unused*/) {});
        }
    }
}

void adopt_part(host_state& host, const schema::outcome_handover_t& message) {
    const auto now = monotonic::now();
    auto& memories = host.outcomes.memories;
    auto it = memories.find(message.incarnation);
    if (it == memories.end()) {
        auto fresh = execution::adopt_memory(message.incarnation, common::milliseconds(message.age), now,
                                             memory_limits_of(host));
        it = memories.emplace(message.incarnation, std::move(fresh)).first;
    }
    for (const auto& record : message.outcomes) {
        const auto id = execution::parse_request_id(record->request_id);
        if (!id || record->state < 0 || record->state > static_cast<std::int8_t>(outcome_state::unknown)) {
            continue;
        }
        execution::outcome_entry entry;
        entry.state = static_cast<outcome_state>(record->state);
        entry.fingerprint = record->fingerprint;
        entry.team = record->team;
        entry.answer = {record->status, parse_headers(record->headers), std::string(to_text(record->body))};
        execution::adopt_outcome(it->second, *id, std::move(entry));
    }
}

} // namespace

bool hand_over_outcomes(host_state& host) {
    const auto parts = close_and_export(host);
    std::size_t tried = 0;
    for (const auto& target : successor_candidates(host)) {
        if (++tried > max_successors_tried) {
            break;
        }
        if (send_all(host, target, parts)) {
            announce_successor(host, parts, target.incarnation);
            common::log_info("outcomes_handed_over",
                             {field("successor", target.name), field("messages", parts.size())});
            return true;
        }
    }
    common::log_warning("outcomes_not_handed_over", {field("messages", parts.size())});
    return false;
}

schema::outcome_handover_answer_t handle_handover(host_state& host,
                                                  const schema::outcome_handover_t& message) {
    schema::outcome_handover_answer_t answer;
    const std::lock_guard guard(host.outcomes.mutex);
    if (message.incarnation == host.self.incarnation) {
        return answer;
    }
    if (message.successor == 0) {
        adopt_part(host, message);
    } else {
        const auto lifetime = common::milliseconds(host.settings.outcomes->lifetime);
        host.outcomes.successors[message.incarnation] = {message.successor, monotonic::now() + lifetime};
    }
    answer.taken = true;
    return answer;
}

} // namespace lycheegap::host
