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

/// Far under the longest peer message.
constexpr std::size_t part_bytes = 512U << 10U;
constexpr auto part_timeout = common::milliseconds(2000);
constexpr std::size_t successors_tried = 4;

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

/// One memory in messages of bounded size; at least one, so that an empty memory is known as well.
std::vector<schema::outcome_handover_t> make_parts(const host_state& host,
                                                   const execution::outcome_memory& memory) {
    const auto first = [&] {
        schema::outcome_handover_t part;
        part.host = host.self.name;
        part.incarnation = memory.incarnation;
        part.age = common::milliseconds_between(memory.started_at, monotonic::now());
        return part;
    };
    std::vector<schema::outcome_handover_t> parts;
    parts.push_back(first());
    std::size_t n = 0;
    for (const auto& [id, entry] : memory.entries) {
        auto record = make_outcome(id, entry);
        n += size_of(*record);
        if (n > part_bytes) {
            parts.push_back(first());
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

bool send_handover(host_state& host, const membership::member& target, schema::outcome_handover_t part) {
    const auto answer = host.peers->call_and_wait(target.peer_address, schema::encode_peer(std::move(part)),
                                                  monotonic::now() + part_timeout);
    const auto decoded =
        answer ? schema::decode<schema::peer_message>(*answer, target.peer_address) : std::nullopt;
    const auto* told = decoded ? decoded->body.Asoutcome_handover_answer() : nullptr;
    return told != nullptr && told->taken;
}

bool send_all(host_state& host, const membership::member& target,
              const std::vector<schema::outcome_handover_t>& parts) {
    return std::all_of(parts.begin(), parts.end(),
                       [&](const auto& part) { return send_handover(host, target, part); });
}

/// Other members that stay, those of this region first.
std::vector<membership::member> candidates(host_state& host) {
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

/// Tells every member at once, and waits for none of them longer than the timeout.
void announce(host_state& host, const std::vector<schema::outcome_handover_t>& parts,
              std::uint64_t successor) {
    const auto members = candidates(host);
    for (const auto& part : parts) {
        schema::outcome_handover_t news;
        news.host = host.self.name;
        news.incarnation = part.incarnation;
        news.successor = successor;
        const auto encoded = schema::encode_peer(std::move(news));
        for (const auto& member : members) {
            host.peers->call(member.peer_address, encoded, monotonic::now() + part_timeout,
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
    for (const auto& target : candidates(host)) {
        if (++tried > successors_tried) {
            break;
        }
        if (send_all(host, target, parts)) {
            announce(host, parts, target.incarnation);
            common::log_info("outcomes_handed_over",
                             {field("successor", target.name), field("messages", parts.size())});
            return true;
        }
    }
    common::log_warning("outcomes_not_handed_over", {field("messages", parts.size())});
    return false;
}

schema::outcome_handover_answer_t take_handover(host_state& host, const schema::outcome_handover_t& message) {
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
