#include "team_rates.h"

#include <algorithm>
#include <mutex>

#include "core/common/digest.h"
#include "core/schema/peer_codec.h"
#include "fleet_link.h"

namespace lycheegap::gateway {

namespace {

using common::milliseconds;
using common::monotonic;

// Total time for asking the homes of a team: one round trip between regions and one lost packet. The caller's
// request waits meanwhile.
constexpr milliseconds home_query_timeout{300};
// A home that did not respond is not asked again for this long; the other homes lend meanwhile.
constexpr milliseconds unresponsive_home_backoff{1500};
// Retry-After when no home could be asked.
constexpr milliseconds default_retry_after{400};
constexpr double max_tokens_per_loan = 100;

const traffic::team* find_team_by_name(const traffic::configuration& config, std::string_view name) {
    const auto found = std::find_if(config.teams.begin(), config.teams.end(),
                                    [&](const auto& it) { return it.name == name; });
    return found == config.teams.end() ? nullptr : &*found;
}

/// Times of rights to tokens are on the boot clock: rights end while the machine is suspended, too.
common::time_point rate_time(common::boot_clock::time_point at) {
    return common::time_point(at.time_since_epoch());
}

common::time_point rate_now() {
    return rate_time(common::boot_clock::now());
}

/// What this host knows of the fleet, with a time on the clock of the rates.
traffic::membership_knowledge rate_knowledge_of(gateway_state& state, const fleet_view& fleet) {
    return {state.options.host, &fleet, rate_time(membership_valid_until(state))};
}

/// Whether this host may act as a home; later another host may have become the home.
bool may_act_as_home(gateway_state& state) {
    return common::boot_clock::now() <= home_valid_until(state);
}

using traffic::token_loan;

bool is_home_of(const gateway_state& state, const fleet_view& fleet, std::string_view team) {
    const auto homes = traffic::homes_of(fleet.members, team);
    return std::find(homes.begin(), homes.end(), state.options.host) != homes.end();
}

/// Lends up to `wanted` tokens of the team from this host, if it is a home; else grants 0.
token_loan lend_tokens(gateway_state& state, std::string_view team, double wanted) {
    const auto config = current_configuration(state);
    const auto* from = config ? find_team_by_name(*config, team) : nullptr;
    const auto fleet = current_fleet(state);
    if (from == nullptr || !may_act_as_home(state)) {
        return {0, default_retry_after};
    }
    const auto lent =
        traffic::lent_limit(traffic::fleet_limit(*from, state.options.rates), traffic::sharing_hosts(*fleet));
    const auto now = rate_now();
    const std::lock_guard guard(state.rates.mutex);
    auto& home = state.rates.homes[std::string(team)];
    traffic::note_home(home, is_home_of(state, *fleet, team), now);
    const double granted = traffic::lend(home, lent, std::min(wanted, max_tokens_per_loan), now);
    return {granted, granted > 0 ? milliseconds{0} : traffic::until_token(home.bucket, lent)};
}

bool is_unresponsive(gateway_state& state, const std::string& home) {
    const std::lock_guard guard(state.rates.mutex);
    const auto found = state.rates.unresponsive_until.find(home);
    return found != state.rates.unresponsive_until.end() && found->second > monotonic::now();
}

void mark_unresponsive(gateway_state& state, const std::string& home) {
    common::count(state.metrics, "rate_homes_silent");
    const std::lock_guard guard(state.rates.mutex);
    state.rates.unresponsive_until[home] = monotonic::now() + unresponsive_home_backoff;
}

/// Asks one home for tokens, which may be this host; empty when it cannot be asked or does not respond.
awaitable<std::optional<token_loan>> ask_home(gateway_state& state, const traffic::team& from,
                                              std::string home, double wanted, common::time_point due) {
    if (home == state.options.host) {
        co_return lend_tokens(state, from.name, wanted);
    }
    auto* link = state.link.load();
    const auto fleet = current_fleet(state);
    const auto member = fleet->members.find(home);
    if (link == nullptr || member == fleet->members.end() || is_unresponsive(state, home)) {
        co_return std::nullopt;
    }
    schema::rate_question_t question;
    question.team = from.name;
    question.host = state.options.host;
    question.wanted = wanted;
    common::count(state.metrics, "rate_questions");
    const auto address = member->second.peer_address;
    const auto answer = co_await call_host(*link, address, schema::encode_peer(std::move(question)), due);
    const auto read = answer ? schema::decode<schema::peer_message>(*answer, address) : std::nullopt;
    const auto* lent = read ? read->body.Asrate_answer() : nullptr;
    if (lent == nullptr) {
        mark_unresponsive(state, home);
        co_return std::nullopt;
    }
    co_return token_loan{std::clamp(lent->granted, 0.0, wanted), milliseconds{std::max(lent->dry, 0)}};
}

/// Asks the homes in turn until one grants a token, or, unless `question.all_homes`, until one responds.
/// Hosts start with different homes, so that the load is spread evenly.
awaitable<token_loan> borrow_tokens(gateway_state& state, const traffic::team& from,
                                    const traffic::token_decision& question) {
    const auto homes = traffic::homes_of(current_fleet(state)->members, from.name);
    const auto first =
        common::stable_hash(state.options.host, common::stable_hash(from.name)) + question.first_home;
    const auto due = monotonic::now() + home_query_timeout;
    token_loan best{0, default_retry_after};
    for (std::size_t n = 0; n < homes.size() && monotonic::now() < due; ++n) {
        const auto lent =
            co_await ask_home(state, from, homes[(first + n) % homes.size()], question.wanted, due);
        if (lent && (lent->granted >= 1 || !question.all_homes)) {
            co_return *lent;
        }
        best.until_next_token =
            lent ? std::min(best.until_next_token, lent->until_next_token) : best.until_next_token;
    }
    co_return best;
}

/// Puts this host's own limit of the team in force; the caller holds the lock of the rates.
void update_own_limit(gateway_state& state, const traffic::team& from, const fleet_view& fleet,
                      common::time_point now) {
    const auto limit = traffic::fleet_limit(from, state.options.rates);
    auto& rates = state.rates;
    traffic::note_own_limit(rates.teams.try_emplace(from.name).first->second, rates.part,
                            traffic::held_limit(rates.part, fleet, limit), now);
}

} // namespace

awaitable<std::optional<milliseconds>> take_rate_token(gateway_state& state, const traffic::team& from) {
    if (from.rate <= 0) {
        co_return std::nullopt;
    }
    const auto fleet = current_fleet(state);
    const auto knowledge = rate_knowledge_of(state, *fleet);
    const auto asked_at = rate_now();
    traffic::token_decision decision;
    {
        const std::lock_guard guard(state.rates.mutex);
        traffic::note_own_part(state.rates.part, knowledge, asked_at);
        update_own_limit(state, from, *fleet, asked_at);
        auto& tokens = state.rates.teams.at(from.name);
        decision = traffic::decide_token(tokens, tokens.own_limit, asked_at);
    }
    if (decision.step == traffic::token_step::taken) {
        co_return std::nullopt;
    }
    if (decision.step == traffic::token_step::refused) {
        common::count(state.metrics, "rate_refused_at_once");
        co_return decision.pause;
    }
    const auto lent = co_await borrow_tokens(state, from, decision);
    const std::lock_guard guard(state.rates.mutex);
    auto& tokens = state.rates.teams[from.name];
    if (traffic::note_loan(tokens, decision, lent, asked_at, rate_now())) {
        co_return std::nullopt;
    }
    co_return traffic::refusal_pause(tokens);
}

void return_rate_token(gateway_state& state, const traffic::team& from) {
    if (from.rate <= 0) {
        return;
    }
    const std::lock_guard guard(state.rates.mutex);
    traffic::return_token(state.rates.teams[from.name]);
}

void update_rate_rights(gateway_state& state) {
    const auto config = current_configuration(state);
    const auto fleet = current_fleet(state);
    const auto knowledge = rate_knowledge_of(state, *fleet);
    const auto now = rate_now();
    const std::lock_guard guard(state.rates.mutex);
    auto& rates = state.rates;
    traffic::note_own_part(rates.part, knowledge, now);
    if (!config || (rates.home_teams_fleet == fleet && rates.home_teams_config == config)) {
        return;
    }
    for (const auto& it : config->teams) {
        if (it.rate > 0) {
            traffic::note_home(rates.homes[it.name], is_home_of(state, *fleet, it.name), now);
            update_own_limit(state, it, *fleet, now);
        }
    }
    rates.home_teams_fleet = fleet;
    rates.home_teams_config = config;
}

schema::bytes handle_rate_question(gateway_state& state, std::string_view team, double wanted) {
    const auto lent = lend_tokens(state, team, wanted);
    schema::rate_answer_t answer;
    answer.granted = lent.granted;
    answer.dry = static_cast<int>(lent.until_next_token.count());
    return schema::encode_peer(answer);
}

} // namespace lycheegap::gateway
