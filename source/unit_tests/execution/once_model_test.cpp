#include <functional>
#include <map>
#include <random>

#include <doctest/doctest.h>

#include "core/execution/outcome_memory.h"

namespace lycheegap::execution {

namespace {

using common::milliseconds;
using common::time_point;

/// How the modelled system treats ids and failures.
enum class strategy : std::uint8_t {
    remember,
    /// No memory: each arrival is run.
    retry_on_failure,
    /// Remembers, but says "not run" whenever there is no answer.
    deny_on_failure,
};

struct history_result {
    int doubled{0};
    int lies{0};
    int runs{0};
};

/// One history on virtual time: copies of requests arrive late, twice and at any host; the home crashes,
/// hands over, is asked; ids expire.
class history {
public:
    history(std::uint64_t seed, strategy how) : random_(seed), how_(how) {
        home_ = make_memory(1, now_, limits_);
        for (std::uint64_t n = 0; n < requests; ++n) {
            plan_request(n);
        }
        if (random_() % 2 == 0) {
            at(random_ms(horizon_ms), [this] { crash(); });
        }
        if (random_() % 2 == 0) {
            at(random_ms(horizon_ms), [this] { hand_over(); });
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
        return judge();
    }

private:
    static constexpr std::uint64_t requests = 6;
    static constexpr int horizon_ms = 4000;
    static constexpr int copies = 4;
    static constexpr int service_ms = 300;
    static constexpr std::uint64_t fingerprint = 5;
    const memory_limits limits_{5, 100'000, 100, milliseconds(2500), 100};

    milliseconds random_ms(int limit) {
        return milliseconds(random_() % static_cast<std::uint64_t>(limit));
    }

    void at(milliseconds delay, std::function<void()> event) {
        events_.emplace(now_ + delay, std::move(event));
    }

    void plan_request(std::uint64_t n) {
        at(random_ms(horizon_ms / 2), [this, n] {
            const request_id id{issue_ticket(home_, n, now_), n};
            for (int copy = 0; copy < copies; ++copy) {
                at(random_ms(horizon_ms), [this, id] { arrive(id); });
            }
            at(random_ms(horizon_ms), [this, id] { ask(id); });
        });
    }

    void arrive(const request_id& id) {
        if (how_ == strategy::retry_on_failure) {
            start(id);
            return;
        }
        switch (begin_request(home_, id, fingerprint, "kite", now_)) {
        case id_verdict::run:
            start(id);
            break;
        case id_verdict::remembered:
            note(id, find_outcome(home_, id)->state);
            break;
        case id_verdict::closed:
            note(id, outcome_state::not_run);
            break;
        case id_verdict::full:
        case id_verdict::mismatch:
        case id_verdict::wait:
            break;
        case id_verdict::expired:
        case id_verdict::invalid:
            note(id, how_ == strategy::deny_on_failure ? outcome_state::not_run : outcome_state::unknown);
            break;
        }
    }

    void start(const request_id& id) {
        const auto answer_lost = random_() % 4 == 0;
        const auto shed = random_() % 4 == 0;
        const auto epoch = epoch_;
        if (!shed) {
            at(random_ms(service_ms), [this, id] { ++runs_[id]; });
        }
        at(milliseconds(service_ms), [this, id, answer_lost, shed, epoch] {
            if (epoch != epoch_) {
                return;
            }
            const auto state = shed          ? outcome_state::not_run
                               : answer_lost ? lost_state()
                                             : outcome_state::answered;
            finish_request(home_, id, state, {200, {}, ""});
            note(id, state);
        });
    }

    [[nodiscard]] outcome_state lost_state() const {
        return how_ == strategy::deny_on_failure ? outcome_state::not_run : outcome_state::unknown;
    }

    void ask(const request_id& id) {
        if (const auto state = settle_request(home_, id, now_); state && how_ == strategy::remember) {
            note(id, *state);
        }
    }

    void crash() {
        ++epoch_;
        home_ = make_memory(home_.incarnation + 1, now_, limits_);
    }

    void hand_over() {
        close_memory(home_, now_);
        ++epoch_;
        const auto age = milliseconds(common::milliseconds_between(home_.started_at, now_));
        const auto exported = home_;
        const auto delay = random_ms(100);
        // The old host serves what it remembers until the successor has the memory.
        at(delay, [this, age, exported] {
            home_ = adopt_memory(exported.incarnation, age, now_, limits_);
            for (const auto& [id, entry] : exported.entries) {
                adopt_outcome(home_, id, entry);
            }
        });
    }

    void note(const request_id& id, outcome_state state) {
        denied_[id] = denied_[id] || state == outcome_state::not_run;
    }

    history_result judge() {
        history_result result;
        for (const auto& [id, n] : runs_) {
            result.runs += n;
            result.doubled += n > 1 ? 1 : 0;
            result.lies += denied_[id] && n > 0 ? 1 : 0;
        }
        return result;
    }

    std::mt19937_64 random_;
    strategy how_;
    time_point now_{milliseconds(1'000'000)};
    std::multimap<time_point, std::function<void()>> events_;
    outcome_memory home_;
    int epoch_{0};
    std::map<request_id, int> runs_;
    std::map<request_id, bool> denied_;
};

history_result run_histories(strategy how, std::uint64_t histories) {
    history_result sum;
    for (std::uint64_t seed = 1; seed <= histories; ++seed) {
        const auto one = history(seed, how).run();
        if (how == strategy::remember && (one.doubled != 0 || one.lies != 0)) {
            MESSAGE("seed ", seed, ": doubled ", one.doubled, ", lies ", one.lies);
        }
        sum.doubled += one.doubled;
        sum.lies += one.lies;
        sum.runs += one.runs;
    }
    MESSAGE("histories ", histories, ": runs ", sum.runs, ", doubled ", sum.doubled, ", false denials ",
            sum.lies);
    return sum;
}

constexpr std::uint64_t history_count = 20'000;
constexpr std::uint64_t naive_history_count = 500;

} // namespace

TEST_SUITE_BEGIN("at_most_once");

TEST_CASE("random histories never run an id twice; running every arrival does") {
    const auto ours = run_histories(strategy::remember, history_count);
    CHECK(ours.runs > 0);
    CHECK(ours.doubled == 0);
    CHECK(run_histories(strategy::retry_on_failure, naive_history_count).doubled > 0);
}

TEST_SUITE_END();
TEST_SUITE_BEGIN("truthful_refusal");

TEST_CASE("random histories never deny a request that ran; denying on every failure does") {
    CHECK(run_histories(strategy::remember, history_count).lies == 0);
    CHECK(run_histories(strategy::deny_on_failure, naive_history_count).lies > 0);
}

TEST_SUITE_END();

} // namespace lycheegap::execution
