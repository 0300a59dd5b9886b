#include "team_rates.h"

#include <algorithm>
#include <mutex>

#include "core/common/digest.h"
#include "core/common/log.h"
#include "core/schema/peer_codec.h"
#include "fleet_link.h"

namespace lycheegap::gateway {

namespace {

using common::field;
using common::milliseconds;
using common::monotonic;

// Total time for asking the homes of a team: one round trip between regions and one lost packet. The caller's
// request waits meanwhile.
constexpr milliseconds home_query_timeout{300};
// Time for asking a home in the own region; a home of another region can still be asked afterwards.
constexpr milliseconds near_home_timeout{100};
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

/// Until when this host may act as a home; later another host may have become the home.
common::time_point lending_valid_until(gateway_state& state) {
    return rate_time(home_valid_until(state));
}

using traffic::token_loan;

bool is_among(const gateway_state& state, const std::vector<std::string>& homes) {
    return std::find(homes.begin(), homes.end(), state.options.host) != homes.end();
}

/// Lends up to `wanted` tokens of the team from this host, if it is a home; else grants 0.
token_loan lend_tokens(gateway_state& state, std::string_view team, double wanted) {
    const auto config = current_configuration(state);
    const auto* from = config ? find_team_by_name(*config, team) : nullptr;
    const auto fleet = current_fleet(state);
    const auto valid_until = lending_valid_until(state);
    if (from == nullptr || rate_now() >= valid_until) {
        return {0, default_retry_after};
    }
    const auto homes = traffic::homes_of(fleet->members, team);
    const auto lent = traffic::lent_limit(traffic::fleet_limit(*from, state.options.rates),
                                          traffic::sharing_hosts(*fleet), homes.size());
    const auto now = rate_now();
    const std::lock_guard guard(state.rates.mutex);
    auto& home = state.rates.homes[std::string(team)];
    traffic::note_home(home, is_among(state, homes), now);
    traffic::note_lending_right(home, valid_until, now);
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

/// Deadline for asking a home: a silent one in the own region leaves time for another.
common::time_point home_due(const gateway_state& state, const fleet_view& fleet, const std::string& home,
                            common::time_point due) {
    const auto found = fleet.members.find(home);
    const bool is_near = found != fleet.members.end() && found->second.region == state.options.region;
    return is_near ? std::min(due, monotonic::now() + near_home_timeout) : due;
}

/// Why a request got no token.
enum class refusal_cause : std::uint8_t { at_once, homes_silent, homes_empty };

struct borrow_result {
    token_loan lent;
    refusal_cause cause{refusal_cause::homes_silent};
};

/// Asks the homes in turn, the near ones first, until one grants a token, or, unless `question.all_homes`,
/// until one responds. Hosts start with different homes, so that the load is spread evenly.
awaitable<borrow_result> borrow_tokens(gateway_state& state, const traffic::team& from,
                                       const traffic::token_decision& question) {
    const auto fleet = current_fleet(state);
    const auto first =
        common::stable_hash(state.options.host, common::stable_hash(from.name)) + question.first_home;
    const auto homes = traffic::nearest_homes(fleet->members, traffic::homes_of(fleet->members, from.name),
                                              state.options.region, first);
    const auto due = monotonic::now() + home_query_timeout;
    borrow_result best{{0, default_retry_after}};
    for (const auto& home : homes) {
        if (monotonic::now() >= due) {
            break;
        }
        const auto lent =
            co_await ask_home(state, from, home, question.wanted, home_due(state, *fleet, home, due));
        if (!lent) {
            continue;
        }
        best.cause = refusal_cause::homes_empty;
        if (lent->granted >= 1 || !question.all_homes) {
            best.lent = *lent;
            break;
        }
        best.lent.until_next_token = std::min(best.lent.until_next_token, lent->until_next_token);
    }
    co_return best;
}

std::string_view cause_name(refusal_cause cause) {
    switch (cause) {
    case refusal_cause::homes_silent:
        return "homes_silent";
    case refusal_cause::homes_empty:
        return "homes_empty";
    case refusal_cause::at_once:
        break;
    }
    return "at_once";
}

void count_refusal(gateway_state& state, refusal_cause cause) {
    switch (cause) {
    case refusal_cause::homes_silent:
        common::count(state.metrics, "rate_refused_homes_silent");
        break;
    case refusal_cause::homes_empty:
        common::count(state.metrics, "rate_refused_homes_empty");
        break;
    case refusal_cause::at_once:
        common::count(state.metrics, "rate_refused_at_once");
        break;
    }
}

/// Counts and logs a refusal with what decided it.
void note_refusal(gateway_state& state, const traffic::team& from, const traffic::team_tokens& tokens,
                  refusal_cause cause, milliseconds pause) {
    count_refusal(state, cause);
    if (may_log(state)) {
        common::log_info("rate_refused", {field("team", from.name), field("cause", cause_name(cause)),
                                          field("request_rate", tokens.request_rate),
                                          field("token_use_rate", tokens.token_use_rate),
                                          field("partial_loans", tokens.partial_loans),
                                          field("own_capacity", tokens.own_limit.capacity),
                                          field("pause_ms", pause.count())});
    }
}

/// Puts this host's own limit of the team in force; the caller holds the lock of the rates.
void update_own_limit(gateway_state& state, const traffic::team& from, const fleet_view& fleet,
                      common::time_point now) {
    const auto limit = traffic::fleet_limit(from, state.options.rates);
    auto& rates = state.rates;
    traffic::note_own_limit(rates.teams.try_emplace(from.name).first->second, rates.part,
                            traffic::held_limit(rates.part, fleet, limit), now);
}

/// Updates which teams' tokens this host lends, and its own limits; the caller holds the lock of the rates.
void update_teams(gateway_state& state, const traffic::configuration& config, const fleet_view& fleet,
                  common::time_point now) {
    for (const auto& it : config.teams) {
        if (it.rate > 0) {
            const bool is_home = is_among(state, traffic::homes_of(fleet.members, it.name));
            traffic::note_home(state.rates.homes[it.name], is_home, now);
            update_own_limit(state, it, fleet, now);
        }
    }
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
    traffic::team_tokens decided_by;
    {
        const std::lock_guard guard(state.rates.mutex);
        traffic::note_own_part(state.rates.part, knowledge, asked_at);
        update_own_limit(state, from, *fleet, asked_at);
        auto& tokens = state.rates.teams.at(from.name);
        decision = traffic::decide_token(tokens, tokens.own_limit, asked_at);
        decided_by = tokens;
    }
    if (decision.step == traffic::token_step::taken) {
        co_return std::nullopt;
    }
    if (decision.step == traffic::token_step::refused) {
        note_refusal(state, from, decided_by, refusal_cause::at_once, decision.pause);
        co_return decision.pause;
    }
    const auto result = co_await borrow_tokens(state, from, decision);
    milliseconds pause{0};
    {
        const std::lock_guard guard(state.rates.mutex);
        auto& tokens = state.rates.teams[from.name];
        if (traffic::note_loan(tokens, decision, result.lent, asked_at, rate_now())) {
            co_return std::nullopt;
        }
        pause = traffic::refusal_pause(tokens);
        decided_by = tokens;
    }
    note_refusal(state, from, decided_by, result.cause, pause);
    co_return pause;
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
    const auto valid_until = lending_valid_until(state);
    const auto now = rate_now();
    const std::lock_guard guard(state.rates.mutex);
    auto& rates = state.rates;
    traffic::note_own_part(rates.part, knowledge, now);
    if (config && (rates.home_teams_fleet != fleet || rates.home_teams_config != config)) {
        update_teams(state, *config, *fleet, now);
        rates.home_teams_fleet = fleet;
        rates.home_teams_config = config;
    }
    for (auto& [team, home] : rates.homes) {
        traffic::note_lending_right(home, valid_until, now);
    }
}

schema::bytes handle_rate_question(gateway_state& state, std::string_view team, double wanted) {
    const auto lent = lend_tokens(state, team, wanted);
    schema::rate_answer_t answer;
    answer.granted = lent.granted;
    answer.dry = static_cast<int>(lent.until_next_token.count());
    return schema::encode_peer(answer);
}

} // namespace lycheegap::gateway
