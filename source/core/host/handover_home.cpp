#include "handover_home.h"

#include <mutex>

#include "core/allowance/home.h"
#include "core/common/log.h"
#include "core/schema/peer_codec.h"
#include "host_state.h"

namespace lycheegap::host {

namespace {

using common::monotonic;

constexpr auto handover_timeout = common::milliseconds(1000);

schema::bytes encode_handover(const host_state& host, std::string_view team,
                              const allowance::account_handover& state, common::time_point now) {
    schema::home_handover_t handover;
    handover.host = host.self.name;
    handover.team = team;
    handover.last_generation = state.last_generation;
    handover.tokens = state.tokens;
    handover.burst = state.burst;
    for (const auto& it : state.loans) {
        auto record = std::make_unique<schema::lent_loan_record_t>();
        record->id = it.id;
        record->borrower = it.borrower;
        record->tokens = it.tokens;
        record->spent = it.spent;
        record->returned = it.returned;
        record->worth = it.credit_per_return;
        record->left = std::chrono::ceil<common::milliseconds>(it.deadline - now).count();
        handover.loans.push_back(std::move(record));
    }
    return schema::encode_peer(std::move(handover));
}

allowance::account_handover parse_handover(const schema::home_handover_t& message, common::time_point now) {
    allowance::account_handover state;
    state.last_generation = message.last_generation;
    state.tokens = message.tokens;
    state.burst = message.burst;
    for (const auto& it : message.loans) {
        const auto deadline = allowance::lender_deadline(now, common::milliseconds(it->left));
        state.loans.push_back(
            {it->id, it->borrower, it->tokens, it->spent, it->returned, deadline, it->worth});
    }
    return state;
}

} // namespace

void send_handover(host_state& host, const allowance_view& view, std::string_view team,
                   const allowance::account_handover& state, common::time_point now) {
    const auto* home = allowance::find_home(team, *view.members);
    if (home == nullptr || home->incarnation == host.self.incarnation) {
        return;
    }
    common::count(host.metrics, "homes_handed_over");
    ++host.allowances.pending_handovers;
    // The allowance table is locked, but `call` only queues the message.
    host.peers->call(home->peer_address, encode_handover(host, team, state, now), now + handover_timeout,
                     [&host](const std::optional<schema::bytes>&) {
                         const std::lock_guard guard(host.allowances.mutex);
                         --host.allowances.pending_handovers;
                         host.allowances.answered.notify_all();
                     });
}

void hand_over_homes(host_state& host, common::time_point deadline) {
    auto view = read_allowance_view(host);
    const auto& self = host.self;
    if (membership::is_member(*view.members, self.name, self.incarnation)) {
        view.members = std::make_shared<const membership::generation>(
            membership::without_member(*view.members, self.name, self.incarnation));
    }
    std::unique_lock guard(host.allowances.mutex);
    for (const auto& [name, team] : view.configuration->teams) {
        update_team(host, view, team, monotonic::now());
    }
    while (host.allowances.pending_handovers > 0 && monotonic::now() < deadline) {
        host.allowances.answered.wait_until(guard, deadline);
    }
}

schema::home_handover_answer_t handle_handover(host_state& host, const schema::home_handover_t& message) {
    schema::home_handover_answer_t answer;
    const auto view = read_allowance_view(host);
    const auto team = view.configuration->teams.find(message.team);
    if (team == view.configuration->teams.end()) {
        return answer;
    }
    const auto now = monotonic::now();
    const std::lock_guard guard(host.allowances.mutex);
    host.allowances.teams[message.team].home.pending_handover = parse_handover(message, now);
    update_team(host, view, team->second, now);
    common::count(host.metrics, "homes_taken_over");
    answer.taken = true;
    return answer;
}

} // namespace lycheegap::host
