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

constexpr double tick_interval = 0.1;
/// The first home has acted for so long that its bucket may be full.
constexpr double begun_at = -100;

enum class event_kind : std::uint8_t {
    arrival,
    tick,
    question,
    grant,
    question_end,
    handover,
    pause,
    die,
    record,
    learn,
    authority_end,
    told_accepted,
};

struct event {
    double at{0};
    std::uint64_t order{0};
    event_kind kind{event_kind::tick};
    int host{0};
    std::uint64_t value{0};
};

struct later {
    bool operator()(const event& a, const event& b) const {
        return a.at != b.at ? a.at > b.at : a.order > b.order;
    }
};

struct message {
    int from{0};
    std::uint64_t serial{0};
    loan_request request;
    std::optional<loan_grant> grant;
    account_handover handover;
    double sent_at{0};
};

struct waiter {
    std::uint64_t number{0};
    double since{0};
};

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

/// One generation with the limits that came with it.
struct recorded_generation {
    int home{0};
    team_limits limits;
    std::vector<double> authority_end;
    bool accepted{false};
};

struct model_host {
    bool dead{false};
    double paused_until{-1};
    double clock_offset{0};
    double clock_rate{1};
    std::uint64_t known{1};
    std::vector<home_period> periods;
    team_home home;
    borrower_account held;
    std::deque<waiter> waiters;
    std::uint64_t serial{0};
    ideal_bucket own;
};

struct fleet_state {
    history_options options;
    std::mt19937_64 random;
    std::priority_queue<event, std::vector<event>, later> events;
    std::uint64_t next_order{0};
    std::vector<message> messages;
    std::vector<model_host> hosts;
    std::vector<recorded_generation> generations;
    std::vector<double> weights;
    ideal_bucket audit;
    ideal_bucket central;
    history_result result;
    double now{0};
};

double uniform(fleet_state& it, double from, double to) {
    return std::uniform_real_distribution<double>(from, to)(it.random);
}

bool chance(fleet_state& it, double part) {
    return part > 0 && uniform(it, 0, 1) < part;
}

int any_host(fleet_state& it) {
    return static_cast<int>(it.random() % it.hosts.size());
}

void schedule(fleet_state& it, double at, event_kind kind, int host, std::uint64_t value = 0) {
    it.events.push({at, it.next_order++, kind, host, value});
}

time_point clock_of(const model_host& host, double now) {
    const double local = 100'000 + host.clock_offset + now * host.clock_rate;
    return time_point(
        std::chrono::duration_cast<common::monotonic::duration>(std::chrono::duration<double>(local)));
}

recorded_generation& generation(fleet_state& it, std::uint64_t number) {
    return it.generations[number - 1];
}

const team_limits& limits_of(fleet_state& it, const model_host& host) {
    return generation(it, host.known).limits;
}

bool has_authority(fleet_state& it, int index) {
    for (auto n = it.hosts[index].known; n < it.generations.size(); ++n) {
        if (it.now >= it.generations[n].authority_end[index]) {
            return false;
        }
    }
    return true;
}

double delay_between(fleet_state& it, int a, int b) {
    const bool same = a % it.options.regions == b % it.options.regions;
    const double base = same ? it.options.within_region : it.options.between_regions;
    return base * uniform(it, 1, 1.05) + (chance(it, it.options.late_part) ? it.options.late_by : 0);
}

void send(fleet_state& it, event_kind kind, int from, int to, message&& sent) {
    ++it.result.messages;
    if (chance(it, it.options.lost_part)) {
        return;
    }
    sent.from = from;
    it.messages.push_back(std::move(sent));
    schedule(it, it.now + delay_between(it, from, to), kind, to, it.messages.size() - 1);
}

void admit(fleet_state& it, double since) {
    ++it.result.admitted;
    refill_ideal(it.audit, it.now);
    it.audit.tokens -= 1;
    it.result.least = std::min(it.result.least, it.audit.tokens);
    const double waited = it.now - since;
    if (waited > 0) {
        ++it.result.waited;
        it.result.wait_sum += waited;
        it.result.wait_most = std::max(it.result.wait_most, waited);
    }
}

/// The audit allows the greatest limits among the generation in force and those recorded since.
void set_audit_limits(fleet_state& it) {
    refill_ideal(it.audit, it.now);
    team_limits most;
    for (auto found = it.generations.rbegin(); found != it.generations.rend(); ++found) {
        most.rate = std::max(most.rate, found->limits.rate);
        most.burst = std::max(most.burst, found->limits.burst);
        if (found->accepted) {
            break;
        }
    }
    it.audit.limits = most;
    it.audit.tokens = std::min(it.audit.tokens, most.burst);
}

void follow(fleet_state& it, int index) {
    auto& host = it.hosts[index];
    const bool had = host.home.account.has_value();
    const auto now = clock_of(host, it.now);
    auto closed =
        follow_tenure(host.home, find_tenure(host.periods), limits_of(it, host), it.options.policy, now);
    if (!had && host.home.account && it.options.how == method::full_after_move && host.known > 1) {
        host.home.account->unknown = 0;
        host.home.account->tokens = host.home.account->limits.burst;
    }
    if (!closed) {
        return;
    }
    for (auto& loan : closed->loans) {
        // Deadlines travel as the time that is left.
        loan.deadline = time_point(loan.deadline - now);
    }
    message sent;
    sent.handover = std::move(*closed);
    send(it, event_kind::handover, index, generation(it, host.known).home, std::move(sent));
}

void ask(fleet_state& it, int index) {
    auto& host = it.hosts[index];
    const auto now = clock_of(host, it.now);
    const auto& limits = limits_of(it, host);
    const int home = generation(it, host.known).home;
    if (home == index || !should_ask(host.held, limits, it.options.policy, now)) {
        return;
    }
    message sent;
    sent.request = begin_question(host.held, std::string(1, static_cast<char>('a' + index)), limits,
                                  it.options.policy, now);
    sent.serial = ++host.serial;
    schedule(it, it.now + it.options.question_limit, event_kind::question_end, index, host.serial);
    send(it, event_kind::question, index, home, std::move(sent));
}

void serve_waiters(fleet_state& it, int index) {
    auto& host = it.hosts[index];
    const auto now = clock_of(host, it.now);
    const bool may_act = has_authority(it, index);
    while (!host.waiters.empty()) {
        const auto first = host.waiters.front();
        if (may_act && spend_held(host.held, now)) {
            admit(it, first.since);
        } else if (first.number <= host.held.refused_through) {
            ++it.result.refused;
        } else if (first.number <= host.held.failed_through) {
            ++it.result.unreachable;
        } else {
            return;
        }
        host.waiters.pop_front();
    }
}

void spend_as_home(fleet_state& it, model_host& host) {
    if (!host.home.account) {
        ++it.result.unreachable;
    } else if (take_own(*host.home.account, clock_of(host, it.now))) {
        admit(it, it.now);
    } else {
        ++it.result.refused;
    }
}

void spend_as_borrower(fleet_state& it, int index) {
    auto& host = it.hosts[index];
    const auto now = clock_of(host, it.now);
    keep_within(host.held, limits_of(it, host), now);
    count_demand(host.held, now);
    if (host.waiters.empty() && spend_held(host.held, now)) {
        admit(it, it.now);
    } else if (host.waiters.empty() && now < host.held.dry_until) {
        ++it.result.refused;
    } else {
        host.waiters.push_back({++host.held.last_waiter, it.now});
    }
    ask(it, index);
}

void count_naive(fleet_state& it, bool taken) {
    if (taken) {
        admit(it, it.now);
        return;
    }
    ++it.result.refused;
}

void on_arrival(fleet_state& it, int index) {
    auto& host = it.hosts[index];
    ++it.result.requests;
    switch (it.options.how) {
    case method::central:
        count_naive(it, take_ideal(it.central, it.now));
        return;
    case method::equal_parts:
    case method::full_bucket_each:
        count_naive(it, take_ideal(host.own, it.now));
        return;
    default:
        break;
    }
    if (!has_authority(it, index)) {
        ++it.result.unreachable;
    } else if (generation(it, host.known).home == index) {
        spend_as_home(it, host);
    } else {
        spend_as_borrower(it, index);
    }
}

/// Plans the next request of the whole fleet; callers leave dead hosts alone.
void plan_arrival(fleet_state& it) {
    const double at = it.now + std::exponential_distribution<double>(it.options.load)(it.random);
    if (at >= it.options.length) {
        return;
    }
    if (it.options.demand_moves && chance(it, 0.02)) {
        std::shuffle(it.weights.begin(), it.weights.end(), it.random);
    }
    std::discrete_distribution<int> pick(it.weights.begin(), it.weights.end());
    int host = pick(it.random);
    while (it.hosts[host].dead) {
        host = any_host(it);
    }
    schedule(it, at, event_kind::arrival, host);
}

void on_question(fleet_state& it, int index, std::uint64_t number) {
    auto& host = it.hosts[index];
    message answer;
    answer.serial = it.messages[number].serial;
    const int from = it.messages[number].from;
    if (has_authority(it, index) && generation(it, host.known).home == index && host.home.account) {
        answer.grant =
            lend(*host.home.account, it.options.policy, it.messages[number].request, clock_of(host, it.now));
        if (it.options.how == method::loans_outside_burst) {
            host.home.account->loans.clear();
        }
    }
    send(it, event_kind::grant, index, from, std::move(answer));
}

void on_grant(fleet_state& it, int index, std::uint64_t number) {
    auto& host = it.hosts[index];
    if (!host.held.asking || it.messages[number].serial != host.serial) {
        return;
    }
    const auto now = clock_of(host, it.now);
    if (it.options.how == method::count_from_receipt) {
        host.held.asked_at = now;
    }
    if (it.messages[number].grant) {
        take_grant(host.held, *it.messages[number].grant, it.options.policy, now);
    } else {
        fail_question(host.held, now);
    }
    serve_waiters(it, index);
    ask(it, index);
}

void on_question_end(fleet_state& it, int index, std::uint64_t serial) {
    auto& host = it.hosts[index];
    if (host.held.asking && host.serial == serial) {
        fail_question(host.held, clock_of(host, it.now));
        serve_waiters(it, index);
        ask(it, index);
    }
}

void on_handover(fleet_state& it, int index, std::uint64_t number) {
    auto& host = it.hosts[index];
    auto state = it.messages[number].handover;
    const auto now = clock_of(host, it.now);
    for (auto& loan : state.loans) {
        const auto left = std::chrono::ceil<common::milliseconds>(loan.deadline.time_since_epoch());
        loan.deadline = lender_deadline(now, left);
    }
    host.home.offered = std::move(state);
    follow(it, index);
}

void accept_when_known(fleet_state& it, std::uint64_t number) {
    auto& target = generation(it, number);
    for (std::size_t n = 0; n < it.hosts.size(); ++n) {
        if (!target.accepted && it.hosts[n].known < number && it.now < target.authority_end[n]) {
            return;
        }
    }
    if (target.accepted) {
        return;
    }
    target.accepted = true;
    set_audit_limits(it);
    for (std::size_t n = 0; n < it.hosts.size(); ++n) {
        schedule(it, it.now + uniform(it, 0.001, 0.12), event_kind::told_accepted, static_cast<int>(n),
                 number);
    }
}

void on_learn(fleet_state& it, int index, std::uint64_t number) {
    auto& host = it.hosts[index];
    if (host.known >= number) {
        return;
    }
    if (!has_authority(it, index)) {
        drop_loans(host.held);
        if (host.home.account) {
            empty_account(*host.home.account, clock_of(host, it.now));
        }
    }
    host.known = number;
    host.periods.push_back({number, generation(it, number).home == index, false, clock_of(host, it.now)});
    follow(it, index);
    keep_within(host.held, limits_of(it, host), clock_of(host, it.now));
    accept_when_known(it, number);
}

void on_told_accepted(fleet_state& it, int index, std::uint64_t number) {
    auto& host = it.hosts[index];
    for (auto& period : host.periods) {
        if (period.generation == number && !period.accepted) {
            period.accepted = true;
            period.accepted_at = clock_of(host, it.now);
        }
    }
    follow(it, index);
}

int next_home(fleet_state& it, int old_home) {
    if (!it.hosts[old_home].dead && chance(it, 0.3)) {
        return old_home;
    }
    int home = any_host(it);
    while (it.hosts[home].dead) {
        home = any_host(it);
    }
    return home;
}

void on_record(fleet_state& it, bool changes_limits) {
    if (it.options.store_down) {
        return;
    }
    recorded_generation next;
    next.home = it.generations.back().home;
    next.limits = it.generations.back().limits;
    if (changes_limits) {
        next.limits.rate = it.options.limits.rate * uniform(it, 0.3, 1.5);
        next.limits.burst = std::ceil(it.options.limits.burst * uniform(it, 0.2, 1.5));
    } else {
        next.home = next_home(it, next.home);
    }
    const auto number = it.generations.size() + 1;
    for (std::size_t n = 0; n < it.hosts.size(); ++n) {
        const double end = it.now + it.options.authority_length * uniform(it, 0.2, 1);
        next.authority_end.push_back(end);
        const bool slow = chance(it, 0.2);
        const double learns = it.now + uniform(it, 0.002, 0.15) + (slow ? uniform(it, 0, 2) : 0);
        schedule(it, learns, event_kind::learn, static_cast<int>(n), number);
        schedule(it, end, event_kind::authority_end, static_cast<int>(n), number);
    }
    it.generations.push_back(std::move(next));
    set_audit_limits(it);
}

void on_tick(fleet_state& it, int index) {
    auto& host = it.hosts[index];
    keep_within(host.held, limits_of(it, host), clock_of(host, it.now));
    ask(it, index);
    if (it.now < it.options.length) {
        schedule(it, it.now + tick_interval, event_kind::tick, index);
    }
}

void on_die(fleet_state& it, int index) {
    it.hosts[index].dead = true;
    it.result.unreachable += static_cast<int>(it.hosts[index].waiters.size());
    it.hosts[index].waiters.clear();
}

/// Events of a paused host wait until it goes on; those of a dead host are gone.
bool is_put_off(fleet_state& it, const event& next) {
    if (next.kind == event_kind::record || next.kind == event_kind::authority_end ||
        next.kind == event_kind::pause) {
        return false;
    }
    const auto& host = it.hosts[next.host];
    if (host.dead) {
        return true;
    }
    if (it.now < host.paused_until) {
        // One that was put off must not plan the next request again.
        const bool is_arrival = next.kind == event_kind::arrival;
        schedule(it, host.paused_until, next.kind, next.host, is_arrival ? 1 : next.value);
        return true;
    }
    return false;
}

void handle(fleet_state& it, const event& next) {
    if (next.kind == event_kind::arrival && next.value == 0) {
        plan_arrival(it);
    }
    if (is_put_off(it, next)) {
        return;
    }
    switch (next.kind) {
    case event_kind::arrival:
        return on_arrival(it, next.host);
    case event_kind::tick:
        return on_tick(it, next.host);
    case event_kind::question:
        return on_question(it, next.host, next.value);
    case event_kind::grant:
        return on_grant(it, next.host, next.value);
    case event_kind::question_end:
        return on_question_end(it, next.host, next.value);
    case event_kind::handover:
        return on_handover(it, next.host, next.value);
    case event_kind::pause:
        it.hosts[next.host].paused_until = it.now + it.options.pause_length * uniform(it, 0.1, 2);
        return;
    case event_kind::die:
        return on_die(it, next.host);
    case event_kind::record:
        return on_record(it, next.value != 0);
    case event_kind::learn:
        return on_learn(it, next.host, next.value);
    case event_kind::authority_end:
        return accept_when_known(it, next.value);
    case event_kind::told_accepted:
        return on_told_accepted(it, next.host, next.value);
    }
}

void prepare_hosts(fleet_state& it) {
    const auto& options = it.options;
    it.generations.push_back({0, options.limits, std::vector<double>(options.hosts, 0), true});
    it.hosts.resize(options.hosts);
    for (int n = 0; n < options.hosts; ++n) {
        auto& host = it.hosts[n];
        host.clock_offset = uniform(it, 0, 1000);
        host.clock_rate = options.clocks_drift ? uniform(it, 1 - clock_drift, 1 + clock_drift) : 1;
        host.periods.push_back({1, n == 0, true, clock_of(host, begun_at)});
        const double parts = options.how == method::equal_parts ? options.hosts : 1;
        host.own.limits = {options.limits.rate / parts, options.limits.burst / parts};
        host.own.tokens = host.own.limits.burst;
        it.weights.push_back(std::pow(n + 1, -options.skew));
        follow(it, n);
        schedule(it, uniform(it, 0, tick_interval), event_kind::tick, n);
    }
    std::shuffle(it.weights.begin(), it.weights.end(), it.random);
}

void plan_faults(fleet_state& it, double per_second, event_kind kind, std::uint64_t value) {
    if (per_second <= 0) {
        return;
    }
    std::exponential_distribution<double> gap(per_second);
    for (double at = gap(it.random); at < it.options.length; at += gap(it.random)) {
        schedule(it, at, kind, any_host(it), value);
    }
}

void plan_deaths(fleet_state& it) {
    const auto& options = it.options;
    if (options.home_dies_at >= 0) {
        schedule(it, options.home_dies_at, event_kind::die, 0);
        schedule(it, options.home_dies_at + options.detection, event_kind::record, 0);
    }
    if (options.other_dies_at >= 0) {
        schedule(it, options.other_dies_at, event_kind::die, options.hosts - 1);
    }
}

} // namespace

history_result run_history(const history_options& options) {
    fleet_state it;
    it.options = options;
    it.random.seed(options.seed);
    it.audit = {options.limits, options.limits.burst, 0};
    it.central = it.audit;
    prepare_hosts(it);
    plan_faults(it, options.pauses, event_kind::pause, 0);
    plan_faults(it, options.moves, event_kind::record, 0);
    plan_faults(it, options.limit_changes, event_kind::record, 1);
    plan_deaths(it);
    plan_arrival(it);
    while (!it.events.empty() && it.events.top().at < options.length + 1) {
        const auto next = it.events.top();
        it.events.pop();
        it.now = next.at;
        handle(it, next);
    }
    return it.result;
}

} // namespace lycheegap::allowance::model
