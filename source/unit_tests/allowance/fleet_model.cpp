#include "fleet_model.h"

#include <algorithm>
#include <cmath>
#include <deque>
#include <optional>
#include <queue>
#include <random>

#include "core/allowance/borrower_account.h"
#include "core/allowance/home_account.h"

namespace lycheegap::allowance::model {

namespace {

using common::time_point;

constexpr double tick_interval_s = 0.1;
/// Long enough before the simulation starts that the first home's bucket is full.
constexpr double first_tenure_start_s = -100;

enum class event_kind : std::uint8_t {
    arrival,
    tick,
    token_request,
    grant,
    request_timeout,
    handover,
    host_pause,
    host_death,
    generation_recorded,
    generation_learned,
    authority_end,
    acceptance_learned,
};

struct event {
    double at{0};
    std::uint64_t sequence{0};
    event_kind kind{event_kind::tick};
    int host{0};
    /// Message, generation or request number, or a flag; depends on the kind.
    std::uint64_t value{0};
};

/// Order of the event queue: earliest first, then in the order of scheduling.
struct event_after {
    bool operator()(const event& a, const event& b) const {
        return a.at != b.at ? a.at > b.at : a.sequence > b.sequence;
    }
};

/// A message between hosts; each kind uses its own fields.
struct message {
    int from{0};
    std::uint64_t request_serial{0};
    loan_request request;
    std::optional<loan_grant> grant;
    account_handover handover;
    double sent_at{0};
};

struct waiting_request {
    std::uint64_t number{0};
    double arrived_at{0};
};

/// Plain token bucket that refills exactly at its rate.
struct ideal_bucket {
    team_limits limits;
    double tokens{0};
    double at{0};
};

void refill_ideal(ideal_bucket& bucket, double now) {
    bucket.tokens = std::min(bucket.limits.burst, bucket.tokens + bucket.limits.rate * (now - bucket.at));
    bucket.at = now;
}

bool take_ideal(ideal_bucket& bucket, double now) {
    refill_ideal(bucket, now);
    if (bucket.tokens < 1) {
        return false;
    }
    bucket.tokens -= 1;
    return true;
}

/// One generation with the limits recorded together with it.
struct recorded_generation {
    int home{0};
    team_limits limits;
    /// Per host: time from which it may not act unless it has learned of this generation.
    std::vector<double> authority_end;
    bool accepted{false};
};

struct model_host {
    bool dead{false};
    double paused_until{-1};
    /// In seconds.
    double clock_offset{0};
    double clock_rate{1};
    std::uint64_t known_generation{1};
    std::vector<home_period> periods;
    team_home home;
    borrower_account borrower;
    std::deque<waiting_request> waiting_requests;
    std::uint64_t request_serial{0};
    /// Bucket of `rate_limiter::equal_shares` and `full_bucket_per_host`.
    ideal_bucket local_bucket;
};

struct fleet_state {
    simulation_options options;
    std::mt19937_64 random;
    std::priority_queue<event, std::vector<event>, event_after> events;
    std::uint64_t next_sequence{0};
    std::vector<message> messages;
    std::vector<model_host> hosts;
    std::vector<recorded_generation> generations;
    std::vector<double> weights;
    /// Charged for every admission to check the limits.
    ideal_bucket audit;
    /// Bucket of `rate_limiter::central`.
    ideal_bucket central;
    simulation_result result;
    double now{0};
};

double uniform(fleet_state& fleet, double from, double to) {
    return std::uniform_real_distribution<double>(from, to)(fleet.random);
}

bool with_probability(fleet_state& fleet, double probability) {
    return probability > 0 && uniform(fleet, 0, 1) < probability;
}

int random_host(fleet_state& fleet) {
    return static_cast<int>(fleet.random() % fleet.hosts.size());
}

void schedule(fleet_state& fleet, double at, event_kind kind, int host, std::uint64_t value = 0) {
    fleet.events.push({at, fleet.next_sequence++, kind, host, value});
}

time_point local_time(const model_host& host, double now) {
    const double local = 100'000 + host.clock_offset + now * host.clock_rate;
    return time_point(
        std::chrono::duration_cast<common::monotonic::duration>(std::chrono::duration<double>(local)));
}

recorded_generation& generation(fleet_state& fleet, std::uint64_t number) {
    return fleet.generations[number - 1];
}

const team_limits& current_limits(fleet_state& fleet, const model_host& host) {
    return generation(fleet, host.known_generation).limits;
}

/// Whether the host may act: until its authority under the generation that it knows ends, if a later one
/// exists.
bool has_authority(fleet_state& fleet, int index) {
    for (auto n = fleet.hosts[index].known_generation; n < fleet.generations.size(); ++n) {
        if (fleet.now >= fleet.generations[n].authority_end[index]) {
            return false;
        }
    }
    return true;
}

double message_delay(fleet_state& fleet, int a, int b) {
    const bool same_region = a % fleet.options.regions == b % fleet.options.regions;
    const double base = same_region ? fleet.options.intra_region_delay_s : fleet.options.inter_region_delay_s;
    return base * uniform(fleet, 1, 1.05) +
           (with_probability(fleet, fleet.options.extra_delay_probability) ? fleet.options.extra_delay_s : 0);
}

void send(fleet_state& fleet, event_kind kind, int from, int to, message&& sent) {
    ++fleet.result.messages;
    if (with_probability(fleet, fleet.options.loss_probability)) {
        return;
    }
    sent.from = from;
    fleet.messages.push_back(std::move(sent));
    schedule(fleet, fleet.now + message_delay(fleet, from, to), kind, to, fleet.messages.size() - 1);
}

void record_admission(fleet_state& fleet, double arrived_at) {
    ++fleet.result.admitted;
    refill_ideal(fleet.audit, fleet.now);
    fleet.audit.tokens -= 1;
    fleet.result.min_audit_tokens = std::min(fleet.result.min_audit_tokens, fleet.audit.tokens);
    const double waited = fleet.now - arrived_at;
    if (waited > 0) {
        ++fleet.result.waited;
        fleet.result.total_wait_s += waited;
        fleet.result.max_wait_s = std::max(fleet.result.max_wait_s, waited);
    }
}

/// Sets the audit's limits to the largest ones among the last accepted generation and those recorded after
/// it, since hosts may act under any of them.
void set_audit_limits(fleet_state& fleet) {
    refill_ideal(fleet.audit, fleet.now);
    team_limits greatest;
    for (auto found = fleet.generations.rbegin(); found != fleet.generations.rend(); ++found) {
        greatest.rate = std::max(greatest.rate, found->limits.rate);
        greatest.burst = std::max(greatest.burst, found->limits.burst);
        if (found->accepted) {
            break;
        }
    }
    fleet.audit.limits = greatest;
    fleet.audit.tokens = std::min(fleet.audit.tokens, greatest.burst);
}

void update_home(fleet_state& fleet, int index) {
    auto& host = fleet.hosts[index];
    const bool had_account = host.home.account.has_value();
    const auto now = local_time(host, fleet.now);
    auto closed = update_tenure(host.home, find_tenure(host.periods), current_limits(fleet, host),
                                fleet.options.policy, now);
    if (!had_account && host.home.account && fleet.options.limiter == rate_limiter::full_bucket_after_move &&
        host.known_generation > 1) {
        host.home.account->unaccounted_tokens = 0;
        host.home.account->tokens = host.home.account->limits.burst;
    }
    if (!closed) {
        return;
    }
    for (auto& loan : closed->loans) {
        // A handover message carries the remaining time, since hosts don't share a clock.
        loan.deadline = time_point(loan.deadline - now);
    }
    message sent;
    sent.handover = std::move(*closed);
    send(fleet, event_kind::handover, index, generation(fleet, host.known_generation).home, std::move(sent));
}

void request_tokens_if_due(fleet_state& fleet, int index) {
    auto& host = fleet.hosts[index];
    const auto now = local_time(host, fleet.now);
    const auto& limits = current_limits(fleet, host);
    const int home = generation(fleet, host.known_generation).home;
    if (home == index || !should_request_tokens(host.borrower, limits, fleet.options.policy, now)) {
        return;
    }
    message sent;
    sent.request = begin_token_request(host.borrower, std::string(1, static_cast<char>('a' + index)), limits,
                                       fleet.options.policy, now);
    sent.request_serial = ++host.request_serial;
    schedule(fleet, fleet.now + fleet.options.request_timeout_s, event_kind::request_timeout, index,
             host.request_serial);
    send(fleet, event_kind::token_request, index, home, std::move(sent));
}

void serve_waiting_requests(fleet_state& fleet, int index) {
    auto& host = fleet.hosts[index];
    const auto now = local_time(host, fleet.now);
    const bool may_act = has_authority(fleet, index);
    while (!host.waiting_requests.empty()) {
        const auto first = host.waiting_requests.front();
        if (may_act && spend_held(host.borrower, now)) {
            record_admission(fleet, first.arrived_at);
        } else if (first.number <= host.borrower.refused_through) {
            ++fleet.result.refused;
        } else if (first.number <= host.borrower.failed_through) {
            ++fleet.result.unreachable;
        } else {
            return;
        }
        host.waiting_requests.pop_front();
    }
}

void spend_as_home(fleet_state& fleet, model_host& host) {
    if (!host.home.account) {
        ++fleet.result.unreachable;
    } else if (take_token(*host.home.account, local_time(host, fleet.now))) {
        record_admission(fleet, fleet.now);
    } else {
        ++fleet.result.refused;
    }
}

void spend_as_borrower(fleet_state& fleet, int index) {
    auto& host = fleet.hosts[index];
    const auto now = local_time(host, fleet.now);
    apply_limits(host.borrower, current_limits(fleet, host), now);
    count_demand(host.borrower, now);
    if (host.waiting_requests.empty() && spend_held(host.borrower, now)) {
        record_admission(fleet, fleet.now);
    } else if (host.waiting_requests.empty() && now < host.borrower.no_tokens_until) {
        ++fleet.result.refused;
    } else {
        host.waiting_requests.push_back({++host.borrower.last_waiter, fleet.now});
    }
    request_tokens_if_due(fleet, index);
}

void record_decision(fleet_state& fleet, bool taken) {
    if (taken) {
        record_admission(fleet, fleet.now);
        return;
    }
    ++fleet.result.refused;
}

void on_arrival(fleet_state& fleet, int index) {
    auto& host = fleet.hosts[index];
    ++fleet.result.requests;
    switch (fleet.options.limiter) {
    case rate_limiter::central:
        record_decision(fleet, take_ideal(fleet.central, fleet.now));
        return;
    case rate_limiter::equal_shares:
    case rate_limiter::full_bucket_per_host:
        record_decision(fleet, take_ideal(host.local_bucket, fleet.now));
        return;
    default:
        break;
    }
    if (!has_authority(fleet, index)) {
        ++fleet.result.unreachable;
    } else if (generation(fleet, host.known_generation).home == index) {
        spend_as_home(fleet, host);
    } else {
        spend_as_borrower(fleet, index);
    }
}

/// Schedules the next caller request of the fleet. Callers don't choose dead hosts.
void schedule_next_arrival(fleet_state& fleet) {
    const double at =
        fleet.now + std::exponential_distribution<double>(fleet.options.requests_per_s)(fleet.random);
    if (at >= fleet.options.duration_s) {
        return;
    }
    if (fleet.options.shuffle_demand && with_probability(fleet, 0.02)) {
        std::shuffle(fleet.weights.begin(), fleet.weights.end(), fleet.random);
    }
    std::discrete_distribution<int> pick(fleet.weights.begin(), fleet.weights.end());
    int host = pick(fleet.random);
    while (fleet.hosts[host].dead) {
        host = random_host(fleet);
    }
    schedule(fleet, at, event_kind::arrival, host);
}

void on_token_request(fleet_state& fleet, int index, std::uint64_t number) {
    auto& host = fleet.hosts[index];
    message answer;
    answer.request_serial = fleet.messages[number].request_serial;
    const int from = fleet.messages[number].from;
    if (has_authority(fleet, index) && generation(fleet, host.known_generation).home == index &&
        host.home.account) {
        answer.grant = lend(*host.home.account, fleet.options.policy, fleet.messages[number].request,
                            local_time(host, fleet.now));
        if (fleet.options.limiter == rate_limiter::loans_outside_burst) {
            host.home.account->loans.clear();
        }
    }
    send(fleet, event_kind::grant, index, from, std::move(answer));
}

void on_grant(fleet_state& fleet, int index, std::uint64_t number) {
    auto& host = fleet.hosts[index];
    if (!host.borrower.request_pending || fleet.messages[number].request_serial != host.request_serial) {
        return;
    }
    const auto now = local_time(host, fleet.now);
    if (fleet.options.limiter == rate_limiter::deadline_from_receipt) {
        host.borrower.requested_at = now;
    }
    if (fleet.messages[number].grant) {
        apply_grant(host.borrower, *fleet.messages[number].grant, fleet.options.policy, now);
    } else {
        fail_token_request(host.borrower, now);
    }
    serve_waiting_requests(fleet, index);
    request_tokens_if_due(fleet, index);
}

void on_request_timeout(fleet_state& fleet, int index, std::uint64_t request_serial) {
    auto& host = fleet.hosts[index];
    if (host.borrower.request_pending && host.request_serial == request_serial) {
        fail_token_request(host.borrower, local_time(host, fleet.now));
        serve_waiting_requests(fleet, index);
        request_tokens_if_due(fleet, index);
    }
}

void on_handover(fleet_state& fleet, int index, std::uint64_t number) {
    auto& host = fleet.hosts[index];
    auto state = fleet.messages[number].handover;
    const auto now = local_time(host, fleet.now);
    for (auto& loan : state.loans) {
        const auto left = std::chrono::ceil<common::milliseconds>(loan.deadline.time_since_epoch());
        loan.deadline = lender_deadline(now, left);
    }
    host.home.pending_handover = std::move(state);
    update_home(fleet, index);
}

/// Accepts the generation once each host knows it or may no longer act under an earlier one.
void accept_if_known_to_all(fleet_state& fleet, std::uint64_t number) {
    auto& target = generation(fleet, number);
    for (std::size_t n = 0; n < fleet.hosts.size(); ++n) {
        if (!target.accepted && fleet.hosts[n].known_generation < number &&
            fleet.now < target.authority_end[n]) {
            return;
        }
    }
    if (target.accepted) {
        return;
    }
    target.accepted = true;
    set_audit_limits(fleet);
    for (std::size_t n = 0; n < fleet.hosts.size(); ++n) {
        schedule(fleet, fleet.now + uniform(fleet, 0.001, 0.12), event_kind::acceptance_learned,
                 static_cast<int>(n), number);
    }
}

void on_generation_learned(fleet_state& fleet, int index, std::uint64_t number) {
    auto& host = fleet.hosts[index];
    if (host.known_generation >= number) {
        return;
    }
    if (!has_authority(fleet, index)) {
        drop_loans(host.borrower);
        if (host.home.account) {
            empty_account(*host.home.account, local_time(host, fleet.now));
        }
    }
    host.known_generation = number;
    host.periods.push_back(
        {number, generation(fleet, number).home == index, false, local_time(host, fleet.now)});
    update_home(fleet, index);
    apply_limits(host.borrower, current_limits(fleet, host), local_time(host, fleet.now));
    accept_if_known_to_all(fleet, number);
}

void on_acceptance_learned(fleet_state& fleet, int index, std::uint64_t number) {
    auto& host = fleet.hosts[index];
    for (auto& period : host.periods) {
        if (period.generation == number && !period.accepted) {
            period.accepted = true;
            period.accepted_at = local_time(host, fleet.now);
        }
    }
    update_home(fleet, index);
}

int choose_next_home(fleet_state& fleet, int old_home) {
    if (!fleet.hosts[old_home].dead && with_probability(fleet, 0.3)) {
        return old_home;
    }
    int home = random_host(fleet);
    while (fleet.hosts[home].dead) {
        home = random_host(fleet);
    }
    return home;
}

void on_generation_recorded(fleet_state& fleet, bool changes_limits) {
    if (fleet.options.store_down) {
        return;
    }
    recorded_generation next;
    next.home = fleet.generations.back().home;
    next.limits = fleet.generations.back().limits;
    if (changes_limits) {
        next.limits.rate = fleet.options.limits.rate * uniform(fleet, 0.3, 1.5);
        next.limits.burst = std::ceil(fleet.options.limits.burst * uniform(fleet, 0.2, 1.5));
    } else {
        next.home = choose_next_home(fleet, next.home);
    }
    const auto number = fleet.generations.size() + 1;
    for (std::size_t n = 0; n < fleet.hosts.size(); ++n) {
        const double end = fleet.now + fleet.options.authority_duration_s * uniform(fleet, 0.2, 1);
        next.authority_end.push_back(end);
        const bool slow = with_probability(fleet, 0.2);
        const double learned_at = fleet.now + uniform(fleet, 0.002, 0.15) + (slow ? uniform(fleet, 0, 2) : 0);
        schedule(fleet, learned_at, event_kind::generation_learned, static_cast<int>(n), number);
        schedule(fleet, end, event_kind::authority_end, static_cast<int>(n), number);
    }
    fleet.generations.push_back(std::move(next));
    set_audit_limits(fleet);
}

void on_tick(fleet_state& fleet, int index) {
    auto& host = fleet.hosts[index];
    apply_limits(host.borrower, current_limits(fleet, host), local_time(host, fleet.now));
    request_tokens_if_due(fleet, index);
    if (fleet.now < fleet.options.duration_s) {
        schedule(fleet, fleet.now + tick_interval_s, event_kind::tick, index);
    }
}

void on_host_death(fleet_state& fleet, int index) {
    fleet.hosts[index].dead = true;
    fleet.result.unreachable += static_cast<int>(fleet.hosts[index].waiting_requests.size());
    fleet.hosts[index].waiting_requests.clear();
}

/// Defers events of a paused host to the end of its pause and drops events of a dead host. Returns whether it
/// did either.
bool defer_or_drop(fleet_state& fleet, const event& next) {
    if (next.kind == event_kind::generation_recorded || next.kind == event_kind::authority_end ||
        next.kind == event_kind::host_pause) {
        return false;
    }
    const auto& host = fleet.hosts[next.host];
    if (host.dead) {
        return true;
    }
    if (fleet.now < host.paused_until) {
        // The value 1 marks an arrival that has already scheduled its successor.
        const bool is_arrival = next.kind == event_kind::arrival;
        schedule(fleet, host.paused_until, next.kind, next.host, is_arrival ? 1 : next.value);
        return true;
    }
    return false;
}

void handle(fleet_state& fleet, const event& next) {
    if (next.kind == event_kind::arrival && next.value == 0) {
        schedule_next_arrival(fleet);
    }
    if (defer_or_drop(fleet, next)) {
        return;
    }
    switch (next.kind) {
    case event_kind::arrival:
        return on_arrival(fleet, next.host);
    case event_kind::tick:
        return on_tick(fleet, next.host);
    case event_kind::token_request:
        return on_token_request(fleet, next.host, next.value);
    case event_kind::grant:
        return on_grant(fleet, next.host, next.value);
    case event_kind::request_timeout:
        return on_request_timeout(fleet, next.host, next.value);
    case event_kind::handover:
        return on_handover(fleet, next.host, next.value);
    case event_kind::host_pause:
        fleet.hosts[next.host].paused_until =
            fleet.now + fleet.options.pause_length_s * uniform(fleet, 0.1, 2);
        return;
    case event_kind::host_death:
        return on_host_death(fleet, next.host);
    case event_kind::generation_recorded:
        return on_generation_recorded(fleet, next.value != 0);
    case event_kind::generation_learned:
        return on_generation_learned(fleet, next.host, next.value);
    case event_kind::authority_end:
        return accept_if_known_to_all(fleet, next.value);
    case event_kind::acceptance_learned:
        return on_acceptance_learned(fleet, next.host, next.value);
    }
}

void prepare_hosts(fleet_state& fleet) {
    const auto& options = fleet.options;
    fleet.generations.push_back({0, options.limits, std::vector<double>(options.hosts, 0), true});
    fleet.hosts.resize(options.hosts);
    for (int n = 0; n < options.hosts; ++n) {
        auto& host = fleet.hosts[n];
        host.clock_offset = uniform(fleet, 0, 1000);
        host.clock_rate = options.clocks_drift ? uniform(fleet, 1 - max_clock_drift, 1 + max_clock_drift) : 1;
        host.periods.push_back({1, n == 0, true, local_time(host, first_tenure_start_s)});
        const double share_count = options.limiter == rate_limiter::equal_shares ? options.hosts : 1;
        host.local_bucket.limits = {options.limits.rate / share_count, options.limits.burst / share_count};
        host.local_bucket.tokens = host.local_bucket.limits.burst;
        fleet.weights.push_back(std::pow(n + 1, -options.demand_skew));
        update_home(fleet, n);
        schedule(fleet, uniform(fleet, 0, tick_interval_s), event_kind::tick, n);
    }
    std::shuffle(fleet.weights.begin(), fleet.weights.end(), fleet.random);
}

void schedule_faults(fleet_state& fleet, double per_second, event_kind kind, std::uint64_t value) {
    if (per_second <= 0) {
        return;
    }
    std::exponential_distribution<double> gap(per_second);
    for (double at = gap(fleet.random); at < fleet.options.duration_s; at += gap(fleet.random)) {
        schedule(fleet, at, kind, random_host(fleet), value);
    }
}

void schedule_host_deaths(fleet_state& fleet) {
    const auto& options = fleet.options;
    if (options.home_dies_at_s >= 0) {
        schedule(fleet, options.home_dies_at_s, event_kind::host_death, 0);
        schedule(fleet, options.home_dies_at_s + options.detection_delay_s, event_kind::generation_recorded,
                 0);
    }
    if (options.other_host_dies_at_s >= 0) {
        schedule(fleet, options.other_host_dies_at_s, event_kind::host_death, options.hosts - 1);
    }
}

} // namespace

simulation_result run_simulation(const simulation_options& options) {
    fleet_state fleet;
    fleet.options = options;
    fleet.random.seed(options.seed);
    fleet.audit = {options.limits, options.limits.burst, 0};
    fleet.central = fleet.audit;
    prepare_hosts(fleet);
    schedule_faults(fleet, options.pauses_per_s, event_kind::host_pause, 0);
    schedule_faults(fleet, options.home_moves_per_s, event_kind::generation_recorded, 0);
    schedule_faults(fleet, options.limit_changes_per_s, event_kind::generation_recorded, 1);
    schedule_host_deaths(fleet);
    schedule_next_arrival(fleet);
    while (!fleet.events.empty() && fleet.events.top().at < options.duration_s + 1) {
        const auto next = fleet.events.top();
        fleet.events.pop();
        fleet.now = next.at;
        handle(fleet, next);
    }
    return fleet.result;
}

} // namespace lycheegap::allowance::model
