#include <functional>
#include <map>
#include <random>

#include <doctest/doctest.h>

#include "core/execution/outcome_memory.h"

namespace lycheegap::execution {

namespace {

using common::milliseconds;
using common::time_point;

/// How the simulated system handles ids and failures.
enum class strategy : std::uint8_t {
    /// As the product: stores outcomes.
    remember,
    /// Stores no outcomes: runs each request that arrives.
    retry_on_failure,
    /// Stores outcomes, but reports "not run" whenever there is no answer.
    deny_on_failure,
};

struct history_result {
    /// Ids that ran more than once.
    int run_twice{0};
    /// Ids that were reported as not run but ran.
    int false_denials{0};
    int runs{0};
};

/// One random history on simulated time: requests arrive several times and late, callers inquire, ids
/// expire, the host that issued the ids crashes or hands its memory over.
class history {
public:
    history(std::uint64_t seed, strategy chosen) : random_(seed), strategy_(chosen) {
        home_ = make_outcome_memory(1, now_, limits_);
        for (std::uint64_t n = 0; n < request_count; ++n) {
            plan_request(n);
        }
        if (random_() % 2 == 0) {
            schedule(random_ms(horizon_ms), [this] { crash(); });
        }
        if (random_() % 2 == 0) {
            schedule(random_ms(horizon_ms), [this] { hand_over(); });
        }
    }

    history_result run() {
        while (!events_.empty()) {
            const auto first = events_.begin();
            now_ = first->first;
            const auto event = std::move(first->second);
            events_.erase(first);
            forget_expired(home_, now_);
            event();
        }
        return summarize();
    }

private:
    static constexpr std::uint64_t request_count = 6;
    static constexpr int horizon_ms = 4000;
    static constexpr int copies_per_request = 4;
    static constexpr int service_ms = 300;
    static constexpr std::uint64_t fingerprint = 5;
    const memory_limits limits_{5, 100'000, 100, milliseconds(2500), 100};

    milliseconds random_ms(int limit) {
        return milliseconds(random_() % static_cast<std::uint64_t>(limit));
    }

    void schedule(milliseconds delay, std::function<void()> event) {
        events_.emplace(now_ + delay, std::move(event));
    }

    void plan_request(std::uint64_t n) {
        schedule(random_ms(horizon_ms / 2), [this, n] {
            const request_id id{issue_ticket(home_, n, now_), n};
            for (int copy = 0; copy < copies_per_request; ++copy) {
                schedule(random_ms(horizon_ms), [this, id] { arrive(id); });
            }
            schedule(random_ms(horizon_ms), [this, id] { inquire(id); });
        });
    }

    void arrive(const request_id& id) {
        if (strategy_ == strategy::retry_on_failure) {
            start(id);
            return;
        }
        switch (begin_request(home_, id, fingerprint, "kite", now_)) {
        case id_verdict::run:
            start(id);
            break;
        case id_verdict::remembered:
            record_outcome(id, find_outcome(home_, id)->state);
            break;
        case id_verdict::closed:
            record_outcome(id, outcome_state::not_run);
            break;
        case id_verdict::full:
        case id_verdict::mismatch:
        case id_verdict::wait:
            break;
        case id_verdict::expired:
        case id_verdict::invalid:
            record_outcome(id, strategy_ == strategy::deny_on_failure ? outcome_state::not_run
                                                                      : outcome_state::unknown);
            break;
        }
    }

    void start(const request_id& id) {
        const auto is_answer_lost = random_() % 4 == 0;
        const auto is_shed = random_() % 4 == 0;
        const auto epoch = epoch_;
        if (!is_shed) {
            schedule(random_ms(service_ms), [this, id] { ++runs_[id]; });
        }
        schedule(milliseconds(service_ms), [this, id, is_answer_lost, is_shed, epoch] {
            if (epoch != epoch_) {
                return;
            }
            const auto state = is_shed          ? outcome_state::not_run
                               : is_answer_lost ? lost_state()
                                                : outcome_state::answered;
            finish_request(home_, id, state, {200, {}, ""});
            record_outcome(id, state);
        });
    }

    [[nodiscard]] outcome_state lost_state() const {
        return strategy_ == strategy::deny_on_failure ? outcome_state::not_run : outcome_state::unknown;
    }

    void inquire(const request_id& id) {
        if (const auto state = resolve_request_outcome(home_, id, now_);
            state && strategy_ == strategy::remember) {
            record_outcome(id, *state);
        }
    }

    void crash() {
        ++epoch_;
        home_ = make_outcome_memory(home_.incarnation + 1, now_, limits_);
    }

    void hand_over() {
        close_memory(home_, now_);
        ++epoch_;
        const auto age = milliseconds(common::milliseconds_between(home_.started_at, now_));
        const auto exported = home_;
        const auto delay = random_ms(100);
        // Until the successor has the memory, the old host still answers from it.
        schedule(delay, [this, age, exported] {
            home_ = adopt_memory(exported.incarnation, age, now_, limits_);
            for (const auto& [id, entry] : exported.entries) {
                adopt_outcome(home_, id, entry);
            }
        });
    }

    void record_outcome(const request_id& id, outcome_state state) {
        denied_[id] = denied_[id] || state == outcome_state::not_run;
    }

    history_result summarize() {
        history_result result;
        for (const auto& [id, n] : runs_) {
            result.runs += n;
            result.run_twice += n > 1 ? 1 : 0;
            result.false_denials += denied_[id] && n > 0 ? 1 : 0;
        }
        return result;
    }

    std::mt19937_64 random_;
    strategy strategy_;
    time_point now_{milliseconds(1'000'000)};
    std::multimap<time_point, std::function<void()>> events_;
    outcome_memory home_;
    int epoch_{0};
    std::map<request_id, int> runs_;
    std::map<request_id, bool> denied_;
};

history_result run_histories(strategy chosen, std::uint64_t histories) {
    history_result sum;
    for (std::uint64_t seed = 1; seed <= histories; ++seed) {
        const auto one = history(seed, chosen).run();
        if (chosen == strategy::remember && (one.run_twice != 0 || one.false_denials != 0)) {
            MESSAGE("seed ", seed, ": run twice ", one.run_twice, ", false denials ", one.false_denials);
        }
        sum.run_twice += one.run_twice;
        sum.false_denials += one.false_denials;
        sum.runs += one.runs;
    }
    MESSAGE("histories ", histories, ": runs ", sum.runs, ", run twice ", sum.run_twice, ", false denials ",
            sum.false_denials);
    return sum;
}

constexpr std::uint64_t history_count = 20'000;
constexpr std::uint64_t naive_history_count = 500;

} // namespace

TEST_SUITE_BEGIN("at_most_once");

TEST_CASE("random histories never run an id twice; running every arrival does") {
    const auto result = run_histories(strategy::remember, history_count);
    CHECK(result.runs > 0);
    CHECK(result.run_twice == 0);
    CHECK(run_histories(strategy::retry_on_failure, naive_history_count).run_twice > 0);
}

TEST_SUITE_END();
TEST_SUITE_BEGIN("truthful_refusal");

TEST_CASE("random histories never deny a request that ran; denying on every failure does") {
    CHECK(run_histories(strategy::remember, history_count).false_denials == 0);
    CHECK(run_histories(strategy::deny_on_failure, naive_history_count).false_denials > 0);
}

TEST_SUITE_END();

} // namespace lycheegap::execution
