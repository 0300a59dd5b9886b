#include "ask_home.h"

#include <mutex>
#include <optional>
#include <string>

#include <fmt/format.h>

#include "core/allowance/home.h"
#include "core/schema/peer_codec.h"
#include "host_state.h"
#include "team_homes.h"

namespace lycheegap::host {

namespace {

using common::monotonic;

/// A question with the address it goes to.
struct question {
    std::string address;
    schema::bytes message;
    common::time_point deadline;
};

std::string borrower_name(std::string_view host, std::uint64_t incarnation) {
    return fmt::format("{}.{:016x}", host, incarnation);
}

schema::bytes encode_question(const host_state& host, const std::string& team, std::uint64_t generation,
                              const allowance::loan_request& asked) {
    schema::token_request_t request;
    request.team = team;
    request.host = host.self.name;
    request.incarnation = host.self.incarnation;
    request.generation = generation;
    request.needed = asked.needed;
    request.wanted = asked.wanted;
    for (const auto& it : asked.reports) {
        auto record = std::make_unique<schema::loan_report_record_t>();
        record->id = it.id;
        record->spent = it.spent;
        record->returned = it.returned;
        request.reports.push_back(std::move(record));
    }
    return schema::encode_peer(std::move(request));
}

std::optional<allowance::loan_grant> parse_grant(const std::optional<schema::bytes>& answer) {
    const auto decoded = answer ? schema::decode<schema::peer_message>(*answer, "home") : std::nullopt;
    const auto* record = decoded ? decoded->body.Astoken_answer() : nullptr;
    if (record == nullptr || record->wrong_home) {
        return std::nullopt;
    }
    return allowance::loan_grant{record->loan, record->granted, record->burst, record->renewed,
                                 common::milliseconds(record->dry)};
}

allowance::loan_request parse_question(const schema::token_request_t& request) {
    allowance::loan_request asked;
    asked.borrower = borrower_name(request.host, request.incarnation);
    asked.needed = request.needed;
    asked.wanted = request.wanted;
    for (const auto& it : request.reports) {
        asked.reports.push_back({it->id, it->spent, it->returned});
    }
    return asked;
}

std::optional<question> begin_when_due(host_state& host, const allowance_view& view,
                                       const catalog::team& team) {
    const auto* home = allowance::home_of(team.name, *view.members);
    if (home == nullptr || home->incarnation == host.self.incarnation) {
        return std::nullopt;
    }
    const auto limits = limits_of(team);
    const auto policy = policy_of(host, *view.configuration, team);
    const std::lock_guard guard(host.allowances.mutex);
    const auto now = monotonic::now();
    auto& entry = update_team(host, view, team, now);
    if (!allowance::should_ask(entry.held, limits, policy, now)) {
        return std::nullopt;
    }
    ++entry.asked;
    const auto asked = allowance::begin_question(
        entry.held, borrower_name(host.self.name, host.self.incarnation), limits, policy, now);
    const auto deadline = now + common::milliseconds(host.settings.allowance->home_timeout);
    return question{home->peer_address, encode_question(host, team.name, view.members->number, asked),
                    deadline};
}

/// Runs on the peer thread: the next question is left to a worker.
void take_answer(host_state& host, const std::string& team, const std::optional<schema::bytes>& answer) {
    const auto grant = parse_grant(answer);
    const auto view = read_allowance_view(host);
    const auto found = view.configuration->teams.find(team);
    {
        const std::lock_guard guard(host.allowances.mutex);
        const auto now = monotonic::now();
        auto& held = host.allowances.teams[team].held;
        if (grant && found != view.configuration->teams.end()) {
            update_team(host, view, found->second, now);
            allowance::take_grant(held, *grant, policy_of(host, *view.configuration, found->second), now);
        } else {
            allowance::fail_question(held, now);
        }
        host.allowances.answered.notify_all();
    }
    host.workers->submit([&host, team] { ask_home_when_due(host, team); });
}

} // namespace

void ask_home_when_due(host_state& host, std::string_view team) {
    const auto view = read_allowance_view(host);
    const auto found = view.configuration->teams.find(team);
    if (found == view.configuration->teams.end()) {
        return;
    }
    auto due = begin_when_due(host, view, found->second);
    if (!due) {
        return;
    }
    host.peers->call(due->address, std::move(due->message), due->deadline,
                     [&host, name = found->first](const std::optional<schema::bytes>& answer) {
                         take_answer(host, name, answer);
                     });
}

schema::token_answer_t answer_tokens(host_state& host, const schema::token_request_t& request) {
    const auto view = read_allowance_view(host);
    const auto team = view.configuration->teams.find(request.team);
    schema::token_answer_t answer;
    answer.wrong_home = true;
    if (team == view.configuration->teams.end()) {
        return answer;
    }
    const std::lock_guard guard(host.allowances.mutex);
    const auto now = monotonic::now();
    auto& entry = update_team(host, view, team->second, now);
    // A host that was stopped for a while finds old questions: its authority counts now, not when they came.
    if (!entry.home.account || now >= view.acts_until) {
        return answer;
    }
    const auto policy = policy_of(host, *view.configuration, team->second);
    const auto grant = allowance::lend(*entry.home.account, policy, parse_question(request), now);
    answer.wrong_home = false;
    answer.granted = grant.tokens;
    answer.loan = grant.id;
    answer.burst = grant.burst;
    answer.renewed = grant.renewed;
    answer.dry = static_cast<int>(grant.dry.count());
    return answer;
}

} // namespace lycheegap::host
