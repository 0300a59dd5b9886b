#include "rate_home.h"

#include <algorithm>
#include <cmath>
#include <functional>
#include <utility>

#include "core/common/digest.h"

namespace lycheegap::traffic {

namespace {

// Larger parts of the hosts refuse less while a home is away, larger lent parts follow uneven callers better.
constexpr double own_use = 0.6;
// Fewer tokens than this on a host lie unused while other hosts lack them.
constexpr double least_own_tokens = 1.5;
// Two homes may be out of reach at once.
constexpr std::size_t home_count = 3;
// Demand is averaged over this time.
constexpr double demand_time_s = 1.0;
// Tokens are asked for so long ahead, within the time that they last.
constexpr double ahead_s = 0.5;

/// Part of a limit that is divided among the hosts.
double own_part_of(const rate_limit& fleet, std::size_t hosts) {
    const double each = fleet.capacity * own_use / static_cast<double>(std::max<std::size_t>(hosts, 1));
    return each >= least_own_tokens ? own_use : 0;
}

} // namespace

rate_limit own_limit(const rate_limit& fleet, double part, std::size_t hosts) {
    const double use = own_part_of(fleet, hosts) * part;
    return {fleet.rate * use, fleet.capacity * use};
}

rate_limit lent_limit(const rate_limit& fleet, std::size_t hosts) {
    const auto homes = static_cast<double>(std::clamp<std::size_t>(hosts, 1, home_count));
    const double use = (1 - own_part_of(fleet, hosts)) / homes;
    return {fleet.rate * use, fleet.capacity * use};
}

std::vector<std::string> homes_of(const fleet_members& members, std::string_view team) {
    const auto seed = common::stable_hash(team);
    std::vector<std::pair<std::uint64_t, std::string>> ranks;
    for (const auto& [name, it] : members) {
        if (!it.peer_address.empty()) {
            ranks.emplace_back(common::stable_hash(name, seed), name);
        }
    }
    const auto homes = std::min(home_count, ranks.size());
    std::partial_sort(ranks.begin(), ranks.begin() + static_cast<std::ptrdiff_t>(homes), ranks.end(),
                      std::greater<>());
    std::vector<std::string> names;
    for (std::size_t n = 0; n < homes; ++n) {
        names.push_back(ranks[n].second);
    }
    return names;
}

void note_home(home_bucket& home, bool is_home, common::time_point now) {
    if (is_home && !home.is_home) {
        home.since = now;
        home.bucket = {0, now + home_wait};
    }
    home.is_home = is_home;
}

double lend(home_bucket& home, const rate_limit& lent, double wanted, common::time_point now) {
    if (!home.is_home || now < home.since + home_wait) {
        return 0;
    }
    double granted = 0;
    while (granted < wanted && take_token(home.bucket, lent, now)) {
        granted += 1;
    }
    return granted;
}

bool take_team_token(team_tokens& tokens, const rate_limit& own, common::time_point now) {
    if (tokens.borrowed >= 1 && now < tokens.borrowed_until) {
        tokens.borrowed -= 1;
        return true;
    }
    // A host whose part is less than one token leaves it to the home: a whole token each would exceed the
    // limit.
    return own.capacity >= 1 && take_token(tokens.own, own, now);
}

double note_demand(team_tokens& tokens, common::time_point now) {
    const double elapsed = std::max(0.0, common::seconds_between(tokens.demand_at, now));
    tokens.demand = tokens.demand * std::exp(-elapsed / demand_time_s) + 1 / demand_time_s;
    tokens.demand_at = now;
    return std::max(1.0, std::floor(tokens.demand * ahead_s));
}

} // namespace lycheegap::traffic
