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

/// An encoded token request and the peer address of the team's home.
struct outgoing_request {
    std::string address;
    schema::bytes message;
    common::time_point deadline;
};

std::string borrower_id(std::string_view host, std::uint64_t incarnation) {
    return fmt::format("{}.{:016x}", host, incarnation);
}

schema::bytes encode_token_request(const host_state& host, const std::string& team, std::uint64_t generation,
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

allowance::loan_request parse_token_request(const schema::token_request_t& request) {
    allowance::loan_request asked;
    asked.borrower = borrower_id(request.host, request.incarnation);
    asked.needed = request.needed;
    asked.wanted = request.wanted;
    for (const auto& it : request.reports) {
        asked.reports.push_back({it->id, it->spent, it->returned});
    }
    return asked;
}

std::optional<outgoing_request> begin_request_if_due(host_state& host, const allowance_view& view,
                                                     const catalog::team& team) {
    const auto* home = allowance::find_home(team.name, *view.members);
    if (home == nullptr || home->incarnation == host.self.incarnation) {
        return std::nullopt;
    }
    const auto limits = limits_of(team);
    const auto policy = policy_of(host, *view.configuration, team);
    const std::lock_guard guard(host.allowances.mutex);
    const auto now = monotonic::now();
    auto& entry = update_team(host, view, team, now);
    if (!allowance::should_request_tokens(entry.borrower, limits, policy, now)) {
        return std::nullopt;
    }
    ++entry.token_requests;
    const auto asked = allowance::begin_token_request(
        entry.borrower, borrower_id(host.self.name, host.self.incarnation), limits, policy, now);
    const auto deadline = now + common::milliseconds(host.settings.allowance->home_timeout);
    return outgoing_request{home->peer_address,
                            encode_token_request(host, team.name, view.members->number, asked), deadline};
}

/// Runs on the peer thread; the next token request is left to a worker.
void handle_token_answer(host_state& host, const std::string& team,
                         const std::optional<schema::bytes>& answer) {
    const auto grant = parse_grant(answer);
    const auto view = read_allowance_view(host);
    const auto found = view.configuration->teams.find(team);
    {
        const std::lock_guard guard(host.allowances.mutex);
        const auto now = monotonic::now();
        auto& borrower = host.allowances.teams[team].borrower;
        if (grant && found != view.configuration->teams.end()) {
            update_team(host, view, found->second, now);
            allowance::apply_grant(borrower, *grant, policy_of(host, *view.configuration, found->second),
                                   now);
        } else {
            allowance::fail_token_request(borrower, now);
        }
        host.allowances.answered.notify_all();
    }
    host.workers->submit([&host, team] { request_tokens_if_due(host, team); });
}

} // namespace

void request_tokens_if_due(host_state& host, std::string_view team) {
    const auto view = read_allowance_view(host);
    const auto found = view.configuration->teams.find(team);
    if (found == view.configuration->teams.end()) {
        return;
    }
    auto due = begin_request_if_due(host, view, found->second);
    if (!due) {
        return;
    }
    host.peers->call(due->address, std::move(due->message), due->deadline,
                     [&host, name = found->first](const std::optional<schema::bytes>& answer) {
                         handle_token_answer(host, name, answer);
                     });
}

schema::token_answer_t handle_token_request(host_state& host, const schema::token_request_t& request) {
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
    // A process that was suspended finds old token requests when it runs again: its authority is checked
    // against the present time, not against their arrival.
    if (!entry.home.account || now >= view.authority_deadline) {
        return answer;
    }
    const auto policy = policy_of(host, *view.configuration, team->second);
    const auto grant = allowance::lend(*entry.home.account, policy, parse_token_request(request), now);
    answer.wrong_home = false;
    answer.granted = grant.tokens;
    answer.loan = grant.id;
    answer.burst = grant.burst;
    answer.renewed = grant.renewed;
    answer.dry = static_cast<int>(grant.retry_after.count());
    return answer;
}

} // namespace lycheegap::host
