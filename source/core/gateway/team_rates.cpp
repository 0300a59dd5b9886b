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
// Beyond this age of what the store confirmed, another host may have become the home: its entry lapses at the
// earliest after two thirds of its lease, and the next home waits on top of that.
constexpr milliseconds home_knowledge{3000};
constexpr double tokens_at_once = 100;
constexpr milliseconds longest_pause{2000};
constexpr milliseconds shortest_pause{50};

const traffic::team* find_team_by_name(const traffic::configuration& config, std::string_view name) {
    const auto found = std::find_if(config.teams.begin(), config.teams.end(),
                                    [&](const auto& it) { return it.name == name; });
    return found == config.teams.end() ? nullptr : &*found;
}

bool knows_members(gateway_state& state) {
    const std::lock_guard guard(state.mirror.mutex);
    return monotonic::now() - state.mirror.mirror.confirmed_at <= home_knowledge;
}

struct loan {
    double granted{0};
    milliseconds dry{0};
};

/// Lends as the team's home.
loan lend_here(gateway_state& state, std::string_view team, double wanted) {
    const auto config = current_configuration(state);
    const auto* from = config ? find_team_by_name(*config, team) : nullptr;
    const auto fleet = current_fleet(state);
    if (from == nullptr || !knows_members(state)) {
        return {0, unknown_pause};
    }
    const auto lent =
        traffic::lent_limit(traffic::fleet_limit(*from, state.options.rates), fleet->names.size());
    const auto now = monotonic::now();
    const std::lock_guard guard(state.rates.mutex);
    auto& home = state.rates.homes[std::string(team)];
    const auto homes = traffic::homes_of(fleet->members, team);
    const bool is_home = std::find(homes.begin(), homes.end(), state.options.host) != homes.end();
    traffic::note_home(home, is_home, now);
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

/// Asks one home, which may be this host.
awaitable<loan> ask_home(gateway_state& state, const traffic::team& from, std::string home, double wanted,
                         common::time_point due) {
    if (home == state.options.host) {
        co_return lend_here(state, from.name, wanted);
    }
    auto* link = state.link.load();
    const auto fleet = current_fleet(state);
    const auto member = fleet->members.find(home);
    if (link == nullptr || member == fleet->members.end() || is_silent(state, home)) {
        co_return loan{0, unknown_pause};
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
        co_return loan{0, unknown_pause};
    }
    co_return loan{std::clamp(lent->granted, 0.0, wanted), milliseconds{std::max(lent->dry, 0)}};
}

/// Asks the homes one after the other until one lends. Hosts begin with different ones, so that all are used
/// alike.
awaitable<loan> borrow(gateway_state& state, const traffic::team& from, double wanted) {
    const auto homes = traffic::homes_of(current_fleet(state)->members, from.name);
    const auto first = common::stable_hash(state.options.host, common::stable_hash(from.name));
    const auto due = monotonic::now() + home_time;
    loan best{0, longest_pause};
    for (std::size_t n = 0; n < homes.size() && monotonic::now() < due; ++n) {
        const auto lent = co_await ask_home(state, from, homes[(first + n) % homes.size()], wanted, due);
        if (lent.granted >= 1) {
            co_return lent;
        }
        best.dry = std::min(best.dry, lent.dry);
    }
    co_return best;
}

/// Puts what was lent into the host's tokens and takes one.
bool take_loan(traffic::team_tokens& tokens, const loan& lent, common::time_point asked_at) {
    tokens.asking = false;
    const auto now = monotonic::now();
    const auto until = asked_at + traffic::loan_time;
    const double kept = now < tokens.borrowed_until ? tokens.borrowed : 0;
    tokens.borrowed = (now < until ? lent.granted : 0) + kept;
    tokens.borrowed_until = until;
    if (lent.granted < 1) {
        tokens.dry_until = now + lent.dry;
    }
    if (tokens.borrowed < 1) {
        return false;
    }
    tokens.borrowed -= 1;
    return true;
}

} // namespace

awaitable<std::optional<milliseconds>> take_rate_token(gateway_state& state, const traffic::team& from) {
    if (from.rate <= 0) {
        co_return std::nullopt;
    }
    const auto fleet = current_fleet(state);
    const double part =
        fleet->own_part > 0 ? fleet->own_part : 1.0 / static_cast<double>(fleet->names.size() + 1);
    const auto own =
        traffic::own_limit(traffic::fleet_limit(from, state.options.rates), part, fleet->names.size());
    const auto asked_at = monotonic::now();
    double wanted = 1;
    {
        const std::lock_guard guard(state.rates.mutex);
        auto& tokens = state.rates.teams.try_emplace(from.name).first->second;
        if (tokens.own.at == common::time_point{}) {
            tokens.own.at = state.started_at;
        }
        wanted = traffic::note_demand(tokens, asked_at);
        if (traffic::take_team_token(tokens, own, asked_at)) {
            co_return std::nullopt;
        }
        if (asked_at < tokens.dry_until) {
            co_return std::chrono::duration_cast<milliseconds>(tokens.dry_until - asked_at);
        }
        // Requests that come while a question is out ask for themselves only.
        wanted = tokens.asking ? 1 : wanted;
        tokens.asking = true;
    }
    const auto lent = co_await borrow(state, from, wanted);
    const std::lock_guard guard(state.rates.mutex);
    if (take_loan(state.rates.teams[from.name], lent, asked_at)) {
        co_return std::nullopt;
    }
    co_return std::max(lent.dry, shortest_pause);
}

schema::bytes answer_rate_question(gateway_state& state, std::string_view team, double wanted) {
    const auto lent = lend_here(state, team, wanted);
    schema::rate_answer_t answer;
    answer.granted = lent.granted;
    answer.dry = static_cast<int>(lent.dry.count());
    return schema::encode_peer(answer);
}

} // namespace lycheegap::gateway
