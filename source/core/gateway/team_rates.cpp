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

// For all homes of a team together: two crossings between regions and one lost packet. A request is not held
// longer, since its caller waits.
constexpr milliseconds home_time{300};
// A home that did not answer is not asked again for this time; the others lend meanwhile.
constexpr milliseconds silent_home_pause{1500};
// A request that no home could be asked for comes back after this time.
constexpr milliseconds unknown_pause{400};
constexpr double tokens_at_once = 100;

const traffic::team* find_team_by_name(const traffic::configuration& config, std::string_view name) {
    const auto found = std::find_if(config.teams.begin(), config.teams.end(),
                                    [&](const auto& it) { return it.name == name; });
    return found == config.teams.end() ? nullptr : &*found;
}

/// Later another host may have become the home: this one's entry lapses at the earliest after two thirds of
/// its lease, and the next home waits on top of that.
bool knows_members(gateway_state& state) {
    return common::boot_clock::now() - confirmed_at(state) <= traffic::membership_validity;
}

using traffic::token_loan;

bool is_home_of(const gateway_state& state, const fleet_view& fleet, std::string_view team) {
    const auto homes = traffic::homes_of(fleet.members, team);
    return std::find(homes.begin(), homes.end(), state.options.host) != homes.end();
}

/// Lends as the team's home.
token_loan lend_here(gateway_state& state, std::string_view team, double wanted) {
    const auto config = current_configuration(state);
    const auto* from = config ? find_team_by_name(*config, team) : nullptr;
    const auto fleet = current_fleet(state);
    if (from == nullptr || !knows_members(state)) {
        return {0, unknown_pause};
    }
    const auto lent =
        traffic::lent_limit(traffic::fleet_limit(*from, state.options.rates), traffic::sharing_hosts(*fleet));
    const auto now = monotonic::now();
    const std::lock_guard guard(state.rates.mutex);
    auto& home = state.rates.homes[std::string(team)];
    traffic::note_home(home, is_home_of(state, *fleet, team), now);
    const double granted = traffic::lend(home, lent, std::min(wanted, tokens_at_once), now);
    return {granted, granted > 0 ? milliseconds{0} : traffic::until_token(home.bucket, lent)};
}

bool is_silent(gateway_state& state, const std::string& home) {
    const std::lock_guard guard(state.rates.mutex);
    const auto found = state.rates.silent_until.find(home);
    return found != state.rates.silent_until.end() && found->second > monotonic::now();
}

void note_silent(gateway_state& state, const std::string& home) {
    common::count(state.metrics, "rate_homes_silent");
    const std::lock_guard guard(state.rates.mutex);
    state.rates.silent_until[home] = monotonic::now() + silent_home_pause;
}

/// Asks one home, which may be this host; empty when it gives no answer.
awaitable<std::optional<token_loan>> ask_home(gateway_state& state, const traffic::team& from,
                                              std::string home, double wanted, common::time_point due) {
    if (home == state.options.host) {
        co_return lend_here(state, from.name, wanted);
    }
    auto* link = state.link.load();
    const auto fleet = current_fleet(state);
    const auto member = fleet->members.find(home);
    if (link == nullptr || member == fleet->members.end() || is_silent(state, home)) {
        co_return std::nullopt;
    }
    schema::rate_question_t question;
    question.team = from.name;
    question.host = state.options.host;
    question.wanted = wanted;
    common::count(state.metrics, "rate_questions");
    const auto address = member->second.peer_address;
    const auto answer = co_await ask_host(*link, address, schema::encode_peer(std::move(question)), due);
    const auto read = answer ? schema::decode<schema::peer_message>(*answer, address) : std::nullopt;
    const auto* lent = read ? read->body.Asrate_answer() : nullptr;
    if (lent == nullptr) {
        note_silent(state, home);
        co_return std::nullopt;
    }
    co_return token_loan{std::clamp(lent->granted, 0.0, wanted), milliseconds{std::max(lent->dry, 0)}};
}

/// Asks the homes one after the other until one lends, or until the first one that answers. Hosts begin with
/// different ones, so that all are used alike.
awaitable<token_loan> borrow(gateway_state& state, const traffic::team& from,
                             const traffic::token_decision& question) {
    const auto homes = traffic::homes_of(current_fleet(state)->members, from.name);
    const auto first =
        common::stable_hash(state.options.host, common::stable_hash(from.name)) + question.first_home;
    const auto due = monotonic::now() + home_time;
    token_loan best{0, unknown_pause};
    for (std::size_t n = 0; n < homes.size() && monotonic::now() < due; ++n) {
        const auto lent =
            co_await ask_home(state, from, homes[(first + n) % homes.size()], question.wanted, due);
        if (lent && (lent->granted >= 1 || !question.all_homes)) {
            co_return *lent;
        }
        best.dry = lent ? std::min(best.dry, lent->dry) : best.dry;
    }
    co_return best;
}

/// This host's own part of the team's limit.
traffic::rate_limit own_part(gateway_state& state, const traffic::team& from) {
    const auto fleet = current_fleet(state);
    const auto hosts = traffic::sharing_hosts(*fleet);
    if (hosts == 0) {
        return {};
    }
    // Hosts that left lately may still use theirs.
    const double part =
        fleet->own_part * static_cast<double>(fleet->names.size()) / static_cast<double>(hosts);
    return traffic::own_limit(traffic::fleet_limit(from, state.options.rates), part, hosts);
}

} // namespace

awaitable<std::optional<milliseconds>> take_rate_token(gateway_state& state, const traffic::team& from) {
    if (from.rate <= 0) {
        co_return std::nullopt;
    }
    const auto own = own_part(state, from);
    const auto asked_at = monotonic::now();
    traffic::token_decision decision;
    {
        const std::lock_guard guard(state.rates.mutex);
        auto& tokens = state.rates.teams.try_emplace(from.name).first->second;
        if (tokens.own.at == common::time_point{}) {
            tokens.own.at = state.started_at;
        }
        decision = traffic::decide_token(tokens, own, asked_at);
    }
    if (decision.step == traffic::token_step::taken) {
        co_return std::nullopt;
    }
    if (decision.step == traffic::token_step::refused) {
        common::count(state.metrics, "rate_refused_at_once");
        co_return decision.pause;
    }
    const auto lent = co_await borrow(state, from, decision);
    const std::lock_guard guard(state.rates.mutex);
    auto& tokens = state.rates.teams[from.name];
    if (traffic::note_loan(tokens, decision, lent, asked_at, monotonic::now())) {
        co_return std::nullopt;
    }
    co_return traffic::refusal_pause(tokens);
}

void give_rate_token_back(gateway_state& state, const traffic::team& from) {
    if (from.rate <= 0) {
        return;
    }
    const std::lock_guard guard(state.rates.mutex);
    traffic::give_back(state.rates.teams[from.name]);
}

void follow_homes(gateway_state& state) {
    const auto config = current_configuration(state);
    const auto fleet = current_fleet(state);
    const auto now = monotonic::now();
    const std::lock_guard guard(state.rates.mutex);
    auto& rates = state.rates;
    if (!config || (rates.noted_fleet == fleet && rates.noted_config == config)) {
        return;
    }
    for (const auto& it : config->teams) {
        if (it.rate > 0) {
            traffic::note_home(rates.homes[it.name], is_home_of(state, *fleet, it.name), now);
        }
    }
    rates.noted_fleet = fleet;
    rates.noted_config = config;
}

schema::bytes answer_rate_question(gateway_state& state, std::string_view team, double wanted) {
    const auto lent = lend_here(state, team, wanted);
    schema::rate_answer_t answer;
    answer.granted = lent.granted;
    answer.dry = static_cast<int>(lent.dry.count());
    return schema::encode_peer(answer);
}

} // namespace lycheegap::gateway
