#include "rate_home.h"

#include <algorithm>
#include <cmath>
#include <tuple>

#include "core/common/digest.h"

namespace lycheegap::traffic {

namespace {

// Fraction of a limit that is divided among the hosts. A larger one leads to fewer refusals while a home is
// unreachable; a smaller one adapts better when callers are unevenly spread over the hosts.
constexpr double own_fraction = 0.6;
// Smallest bucket capacity worth giving to each host. With less, tokens stay unused on some hosts while
// others lack them.
constexpr double min_own_tokens = 1.5;
// Tolerates two unreachable homes at once.
constexpr std::size_t min_homes_per_team = 3;
// Time constant for averaging the rates of requests and of tokens used.
constexpr double rate_averaging_s = 1.0;
// Expected demand that a batch loan covers; shorter than `loan_lifetime`, so that the tokens can be used.
constexpr double borrow_ahead_s = 0.5;

// Pause before a host asks again for a contended team after a home lent nothing. It doubles with each further
// partial loan, up to the maximum. During the pause, requests are refused without waiting, and the homes
// collect tokens for larger loans.
constexpr common::milliseconds min_borrowing_pause{25};
constexpr common::milliseconds max_borrowing_pause{400};
// Partial loans are counted up to this number, at which the doubled pause has reached its maximum.
constexpr int max_partial_loans = 5;
// Ratio of requests to requests served from which a team counts as contended, that is, far over its rate. Its
// tokens are then borrowed only in batches, with a pause in which they accumulate at the homes.
constexpr double contention_ratio = 2;
// Number of consecutive partial loans from which a team counts as contended. Fewer can occur inside its rate,
// when the homes are empty for a moment.
constexpr int contended_partial_loans = 3;
// Number of requests that may wait however few tokens were asked for: a host that borrows one token at a time
// can have two requests at once.
constexpr double min_waiting_limit = 4;
// Pause after a successful batch loan of a contended team.
constexpr common::milliseconds contended_borrowing_pause{100};
// Retry delay of a refused caller, per request that competes for each token, and its bounds. A caller that
// retries while as many others still compete is refused again.
constexpr double refusal_pause_per_request_ms = 100;
constexpr double min_token_use_rate = 0.5;
constexpr common::milliseconds min_refusal_pause{100};
constexpr common::milliseconds max_refusal_pause{2000};

struct home_candidate {
    std::uint64_t rank{0};
    std::string_view name;
    std::string_view region;
};

/// Whether `a` goes before `b` in the order of homes.
bool ranks_higher(const home_candidate& a, const home_candidate& b) {
    return std::tie(a.rank, a.name) > std::tie(b.rank, b.name);
}

/// Fraction of this limit that is divided among the hosts; 0 if each would get too few tokens.
double own_fraction_of(const rate_limit& fleet, std::size_t hosts) {
    const double each = fleet.capacity * own_fraction / static_cast<double>(std::max<std::size_t>(hosts, 1));
    return each >= min_own_tokens ? own_fraction : 0;
}

/// Records a request and returns the number of tokens that a batch loan should ask for.
double note_token_demand(team_tokens& tokens, common::time_point now) {
    const double elapsed = std::max(0.0, common::seconds_between(tokens.rates_at, now));
    const double decay = std::exp(-elapsed / rate_averaging_s);
    tokens.request_rate = tokens.request_rate * decay + 1 / rate_averaging_s;
    tokens.token_use_rate *= decay;
    tokens.rates_at = now;
    return std::max(1.0, std::floor(tokens.request_rate * borrow_ahead_s));
}

/// Whether many more requests need tokens than get or wait for one.
bool is_contended(const team_tokens& tokens) {
    return tokens.partial_loans >= contended_partial_loans ||
           tokens.request_rate > contention_ratio * (tokens.token_use_rate + tokens.waiting_requests + 1);
}

/// Counts partial loans, and sets the pause before the next loan of a contended team.
void note_loan_size(team_tokens& tokens, const token_decision& request, const token_loan& lent,
                    common::time_point now) {
    const bool is_partial = lent.granted < 1 || lent.granted * 2 < request.wanted;
    tokens.partial_loans = is_partial ? std::min(tokens.partial_loans + 1, max_partial_loans) : 0;
    if (!is_contended(tokens)) {
        return;
    }
    const auto doublings = std::max(tokens.partial_loans - 1, 0);
    const auto pause = std::max(lent.until_next_token, min_borrowing_pause * (1 << doublings));
    tokens.borrowing_paused_until =
        now + (lent.granted >= 1 ? contended_borrowing_pause : std::min(pause, max_borrowing_pause));
}

void begin_lending(home_bucket& home, common::time_point now) {
    home.home_since = now;
    // Empty, and refilled only from the end of the wait. Loans of a former home that are still out were taken
    // from its bucket, so they are counted.
    home.bucket = {0, now + home_wait};
}

/// Takes one token, a borrowed one first because those expire.
bool take_team_token(team_tokens& tokens, const rate_limit& own, common::time_point now) {
    const bool borrowed = tokens.borrowed >= 1 && now < tokens.borrowed_until;
    if (borrowed) {
        tokens.borrowed -= 1;
    }
    const bool taken = borrowed || (has_own_tokens(own) && take_token(tokens.own, own, now));
    tokens.token_use_rate += taken ? 1 / rate_averaging_s : 0;
    return taken;
}

} // namespace

rate_limit own_limit(const rate_limit& fleet, double share, std::size_t hosts) {
    const double fraction = own_fraction_of(fleet, hosts) * share;
    return {fleet.rate * fraction, fleet.capacity * fraction};
}

bool has_own_tokens(const rate_limit& own) {
    return own.capacity >= 1;
}

rate_limit lent_limit(const rate_limit& fleet, std::size_t hosts, std::size_t homes) {
    const double fraction =
        (1 - own_fraction_of(fleet, hosts)) / static_cast<double>(std::max<std::size_t>(homes, 1));
    return {fleet.rate * fraction, fleet.capacity * fraction};
}

std::vector<std::string> homes_of(const fleet_members& members, std::string_view team) {
    const auto seed = common::stable_hash(team);
    std::vector<home_candidate> ranks;
    ranks.reserve(members.size());
    for (const auto& [name, it] : members) {
        if (!it.peer_address.empty()) {
            ranks.push_back({common::stable_hash(name, seed), name, it.region});
        }
    }
    std::sort(ranks.begin(), ranks.end(), ranks_higher);
    std::vector<std::string_view> regions;
    // The first of each region goes to the front; both groups keep their order.
    const auto others = std::stable_partition(ranks.begin(), ranks.end(), [&](const home_candidate& it) {
        const bool is_new = std::find(regions.begin(), regions.end(), it.region) == regions.end();
        if (is_new) {
            regions.push_back(it.region);
        }
        return is_new;
    });
    const auto regional = static_cast<std::size_t>(others - ranks.begin());
    const auto homes = std::min(std::max(regional, min_homes_per_team), ranks.size());
    std::vector<std::string> names;
    for (std::size_t n = 0; n < homes; ++n) {
        names.emplace_back(ranks[n].name);
    }
    return names;
}

std::vector<std::string> nearest_homes(const fleet_members& members, std::span<const std::string> homes,
                                       std::string_view region, std::size_t first) {
    std::vector<std::string> order(homes.begin(), homes.end());
    if (order.empty()) {
        return order;
    }
    std::rotate(order.begin(), order.begin() + static_cast<std::ptrdiff_t>(first % order.size()),
                order.end());
    std::stable_partition(order.begin(), order.end(), [&](const std::string& name) {
        const auto found = members.find(name);
        return found != members.end() && found->second.region == region;
    });
    return order;
}

void note_home(home_bucket& home, bool is_home, common::time_point now) {
    if (is_home && !home.is_home) {
        begin_lending(home, now);
    }
    home.is_home = is_home;
}

void note_lending_right(home_bucket& home, common::time_point valid_until, common::time_point now) {
    if (now >= valid_until) {
        return;
    }
    if (now >= home.valid_until) {
        begin_lending(home, now);
    }
    home.valid_until = valid_until;
}

double lend(home_bucket& home, const rate_limit& lent, double wanted, common::time_point now) {
    if (!home.is_home || now < home.home_since + home_wait) {
        return 0;
    }
    double granted = 0;
    while (granted < wanted && take_token(home.bucket, lent, now)) {
        granted += 1;
    }
    return granted;
}

token_decision decide_token(team_tokens& tokens, const rate_limit& own, common::time_point now) {
    const double wanted = note_token_demand(tokens, now);
    if (take_team_token(tokens, own, now)) {
        return {.step = token_step::taken};
    }
    const bool contended = is_contended(tokens);
    const bool may_join =
        !contended && tokens.waiting_requests < std::max(tokens.pending_tokens, min_waiting_limit);
    if (now < tokens.borrowing_paused_until || (tokens.loan_pending && !may_join)) {
        return {.step = token_step::refused, .pause = refusal_pause(tokens)};
    }
    token_decision request{.step = token_step::ask, .wanted = 1, .first_home = tokens.loan_requests++};
    request.is_batch = !tokens.loan_pending;
    request.all_homes = !contended;
    if (request.is_batch) {
        tokens.loan_pending = true;
        tokens.pending_tokens = wanted;
        request.wanted = wanted;
    }
    ++tokens.waiting_requests;
    return request;
}

bool note_loan(team_tokens& tokens, const token_decision& request, const token_loan& lent,
               common::time_point asked_at, common::time_point now) {
    --tokens.waiting_requests;
    if (request.is_batch) {
        tokens.loan_pending = false;
    }
    const auto until = asked_at + loan_lifetime;
    const double unexpired = now < tokens.borrowed_until ? tokens.borrowed : 0;
    tokens.borrowed = (now < until ? lent.granted : 0) + unexpired;
    tokens.borrowed_until = until;
    if (request.is_batch) {
        note_loan_size(tokens, request, lent, now);
    }
    if (tokens.borrowed < 1) {
        return false;
    }
    tokens.borrowed -= 1;
    tokens.token_use_rate += 1 / rate_averaging_s;
    return true;
}

void return_token(team_tokens& tokens) {
    // The next refill caps the bucket at its capacity.
    tokens.own.tokens += 1;
}

common::milliseconds pause_for_competition(double requests_per_served) {
    const auto longest = static_cast<double>(max_refusal_pause.count());
    const auto pause = std::min(refusal_pause_per_request_ms * requests_per_served, longest);
    return std::max(common::milliseconds{static_cast<std::int64_t>(pause)}, min_refusal_pause);
}

common::milliseconds refusal_pause(const team_tokens& tokens) {
    return pause_for_competition(tokens.request_rate / std::max(tokens.token_use_rate, min_token_use_rate));
}

} // namespace lycheegap::traffic
