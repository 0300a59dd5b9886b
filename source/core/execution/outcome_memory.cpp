#include "outcome_memory.h"

#include <algorithm>

namespace lycheegap::execution {

namespace {

constexpr int percent = 100;

bool is_expired(const outcome_memory& memory, const request_id& id, common::time_point now) {
    const auto issued_at = memory.started_at + common::milliseconds(id.source.issued_ms);
    return issued_at + memory.limits.lifetime <= now;
}

// Not checked in a closed memory: after a takeover its clock is behind the issuing host's by the transit time
// of the message, so a valid ticket may seem to be issued in the future.
bool was_never_issued(const outcome_memory& memory, const request_id& id, common::time_point now) {
    return !memory.closed && memory.started_at + common::milliseconds(id.source.issued_ms) > now;
}

std::size_t size_of(const outcome_entry& entry) {
    std::size_t n = sizeof(entry) + entry.team.size() + entry.answer.body.size();
    for (const auto& it : entry.answer.headers) {
        n += it.name.size() + it.value.size();
    }
    return n;
}

bool has_room(const outcome_memory& memory, std::string_view team) {
    const auto team_entries = memory.entries_by_team.find(team);
    const auto team_count = team_entries == memory.entries_by_team.end() ? 0 : team_entries->second;
    const auto team_limit =
        memory.limits.entries * static_cast<std::size_t>(memory.limits.team_percent) / percent;
    return memory.entries.size() < memory.limits.entries && memory.bytes < memory.limits.bytes &&
           team_count < std::max<std::size_t>(1, team_limit);
}

void insert_entry(outcome_memory& memory, const request_id& id, outcome_entry entry) {
    memory.bytes += size_of(entry);
    ++memory.entries_by_team[entry.team];
    memory.entries.insert_or_assign(id, std::move(entry));
}

id_verdict verdict_for(const outcome_entry& entry, std::uint64_t fingerprint, std::string_view team) {
    // An entry made by an inquiry has no fingerprint and no team.
    const bool settled_by_inquiry = entry.state == outcome_state::not_run && entry.fingerprint == 0;
    if (!settled_by_inquiry && (entry.fingerprint != fingerprint || entry.team != team)) {
        return id_verdict::mismatch;
    }
    return entry.state == outcome_state::under_way ? id_verdict::wait : id_verdict::remembered;
}

} // namespace

outcome_memory make_outcome_memory(std::uint64_t incarnation, common::time_point now,
                                   const memory_limits& limits) {
    outcome_memory memory;
    memory.incarnation = incarnation;
    memory.started_at = now;
    memory.limits = limits;
    return memory;
}

ticket issue_ticket(const outcome_memory& memory, std::uint64_t nonce, common::time_point now) {
    return {memory.incarnation, common::milliseconds_between(memory.started_at, now), nonce};
}

id_verdict begin_request(outcome_memory& memory, const request_id& id, std::uint64_t fingerprint,
                         std::string_view team, common::time_point now) {
    if (id.source.incarnation != memory.incarnation || was_never_issued(memory, id, now)) {
        return id_verdict::invalid;
    }
    if (is_expired(memory, id, now)) {
        return id_verdict::expired;
    }
    if (const auto* known = find_outcome(memory, id)) {
        return verdict_for(*known, fingerprint, team);
    }
    if (memory.closed) {
        return id_verdict::closed;
    }
    if (!has_room(memory, team)) {
        return id_verdict::full;
    }
    insert_entry(memory, id, {outcome_state::under_way, fingerprint, std::string(team), {}});
    return id_verdict::run;
}

void finish_request(outcome_memory& memory, const request_id& id, outcome_state state, kept_answer answer) {
    const auto it = memory.entries.find(id);
    if (it == memory.entries.end() || it->second.state != outcome_state::under_way) {
        return;
    }
    memory.bytes -= size_of(it->second);
    it->second.state = state;
    if (answer.body.size() > memory.limits.answer_bytes) {
        answer.body.clear();
        answer.headers.push_back({std::string(dropped_body_header), "1"});
    }
    it->second.answer = std::move(answer);
    memory.bytes += size_of(it->second);
}

const outcome_entry* find_outcome(const outcome_memory& memory, const request_id& id) {
    const auto it = memory.entries.find(id);
    return it == memory.entries.end() ? nullptr : &it->second;
}

std::optional<outcome_state> resolve_request_outcome(outcome_memory& memory, const request_id& id,
                                                     common::time_point now) {
    if (id.source.incarnation != memory.incarnation || was_never_issued(memory, id, now) ||
        is_expired(memory, id, now)) {
        return outcome_state::unknown;
    }
    if (const auto* known = find_outcome(memory, id)) {
        return known->state;
    }
    if (memory.closed) {
        return outcome_state::not_run;
    }
    if (!has_room(memory, "")) {
        return std::nullopt;
    }
    insert_entry(memory, id, {outcome_state::not_run, 0, {}, {}});
    return outcome_state::not_run;
}

void close_memory(outcome_memory& memory, common::time_point now) {
    memory.closed = true;
    memory.closed_at = now;
}

bool are_all_ids_expired(const outcome_memory& memory, common::time_point now) {
    return memory.closed && memory.closed_at + memory.limits.lifetime <= now;
}

outcome_memory adopt_memory(std::uint64_t incarnation, common::milliseconds age, common::time_point now,
                            const memory_limits& limits) {
    // `age` does not include the transit time of the message, so ids expire here no earlier than on that
    // host.
    auto memory = make_outcome_memory(incarnation, now - age, limits);
    close_memory(memory, now);
    return memory;
}

void adopt_outcome(outcome_memory& memory, const request_id& id, outcome_entry entry) {
    if (entry.state == outcome_state::under_way) {
        entry.state = outcome_state::unknown;
    }
    if (find_outcome(memory, id) == nullptr) {
        insert_entry(memory, id, std::move(entry));
    }
}

void forget_expired(outcome_memory& memory, common::time_point now) {
    for (auto it = memory.entries.begin();
         it != memory.entries.end() && is_expired(memory, it->first, now);) {
        if (it->second.state == outcome_state::under_way) {
            ++it;
            continue;
        }
        memory.bytes -= size_of(it->second);
        const auto team_entries = memory.entries_by_team.find(it->second.team);
        if (team_entries != memory.entries_by_team.end() && --team_entries->second == 0) {
            memory.entries_by_team.erase(team_entries);
        }
        it = memory.entries.erase(it);
    }
}

std::size_t count_under_way(const outcome_memory& memory) {
    return static_cast<std::size_t>(
        std::count_if(memory.entries.begin(), memory.entries.end(),
                      [](const auto& it) { return it.second.state == outcome_state::under_way; }));
}

} // namespace lycheegap::execution
