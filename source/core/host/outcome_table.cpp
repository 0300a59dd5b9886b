#include "outcome_table.h"

#include <mutex>

#include "core/common/digest.h"
#include "host_state.h"

namespace lycheegap::host {

using common::monotonic;

execution::memory_limits memory_limits_of(const host_state& host) {
    const auto& settings = *host.settings.outcomes;
    execution::memory_limits limits;
    limits.entries = static_cast<std::size_t>(settings.entry_limit);
    limits.bytes = static_cast<std::size_t>(settings.byte_limit);
    limits.team_percent = settings.team_limit;
    limits.lifetime = common::milliseconds(settings.lifetime);
    limits.answer_bytes = static_cast<std::size_t>(settings.answer_limit);
    return limits;
}

void open_outcomes(host_state& host) {
    const std::lock_guard guard(host.outcomes.mutex);
    const auto own = host.self.incarnation;
    host.outcomes.memories[own] =
        execution::make_outcome_memory(own, monotonic::now(), memory_limits_of(host));
}

std::string new_ticket(host_state& host) {
    const auto nonce = common::random_bits();
    const std::lock_guard guard(host.outcomes.mutex);
    const auto& own = host.outcomes.memories.at(host.self.incarnation);
    if (own.closed) {
        return {};
    }
    return execution::format_ticket(execution::issue_ticket(own, nonce, monotonic::now()));
}

bool holds_outcomes(host_state& host, std::uint64_t incarnation) {
    const std::lock_guard guard(host.outcomes.mutex);
    return host.outcomes.memories.contains(incarnation);
}

std::optional<execution::outcome_entry> resolve_outcome(host_state& host, const execution::request_id& id) {
    const std::lock_guard guard(host.outcomes.mutex);
    const auto memory = host.outcomes.memories.find(id.source.incarnation);
    if (memory == host.outcomes.memories.end()) {
        return std::nullopt;
    }
    const auto state = execution::resolve_request_outcome(memory->second, id, monotonic::now());
    if (!state) {
        return std::nullopt;
    }
    const auto* known = execution::find_outcome(memory->second, id);
    auto entry = known != nullptr ? *known : execution::outcome_entry{};
    entry.state = *state;
    return entry;
}

void remove_expired_outcomes(host_state& host) {
    const auto now = monotonic::now();
    const std::lock_guard guard(host.outcomes.mutex);
    for (auto& [incarnation, memory] : host.outcomes.memories) {
        execution::forget_expired(memory, now);
    }
    std::erase_if(host.outcomes.memories, [&](const auto& it) {
        return it.first != host.self.incarnation && execution::are_all_ids_expired(it.second, now);
    });
    std::erase_if(host.outcomes.successors, [&](const auto& it) { return it.second.forget_at <= now; });
}

} // namespace lycheegap::host
