#include "authority_model.h"

#include <algorithm>
#include <array>
#include <memory>
#include <queue>
#include <random>
#include <vector>

#include "core/membership/acceptance.h"
#include "core/membership/authority.h"

namespace lycheegap::membership {

namespace {

using common::milliseconds;
using common::time_point;

constexpr int host_limit = 6;
constexpr int history_ms = 9000;
constexpr int step_ms = 50;
constexpr int beat_ms = 200;
constexpr milliseconds length(1000);
constexpr std::array names{"a", "b", "c", "d", "e", "f"};

/// One version as the store holds it.
struct record {
    std::uint64_t version{0};
    generation members;
};

using record_ptr = std::shared_ptr<const record>;

struct host {
    bool runs{false};
    std::uint64_t incarnation{0};
    /// Its clock runs at this rate, with this offset.
    double rate{1};
    int offset_ms{0};
    int paused_until{0};
    record_ptr known{std::make_shared<record>()};
    authority held;
    std::vector<member_answer> answers;
    std::vector<confirmation> confirmations;
    std::uint64_t accepted{0};
    std::uint64_t accepted_generation{0};
    int next_beat{0};
};

enum class kind : std::uint8_t { question, answer, store_answer };

struct message {
    int due{0};
    std::uint64_t order{0};
    kind what{kind::question};
    int from{0};
    int to{0};
    std::uint64_t from_incarnation{0};
    std::uint64_t to_incarnation{0};
    /// On the asking host's clock.
    time_point asked_at;
    record_ptr known{std::make_shared<record>()};
};

struct later {
    bool operator()(const message& a, const message& b) const {
        return a.due != b.due ? a.due > b.due : a.order > b.order;
    }
};

struct world {
    rule chosen{rule::product};
    std::mt19937_64 random;
    int now{0};
    record_ptr stored{std::make_shared<record>()};
    bool store_down{false};
    std::array<host, host_limit> hosts;
    /// cut[a][b]: nothing passes from a to b. The last index is the store.
    std::array<std::array<bool, host_limit + 1>, host_limit + 1> cut{};
    std::priority_queue<message, std::vector<message>, later> messages;
    std::uint64_t next_order{0};
    std::uint64_t next_incarnation{1};
    std::uint64_t accepted{0};
    int quiet_from{0};
    history_result result;
};

int pick(world& it, int n) {
    return static_cast<int>(it.random() % static_cast<std::uint64_t>(n));
}

bool chance(world& it, int percent) {
    return pick(it, 100) < percent;
}

time_point clock_of(const world& it, const host& at) {
    return time_point(milliseconds(1'000'000 + at.offset_ms) +
                      std::chrono::microseconds(static_cast<std::int64_t>(it.now * 1000 * at.rate)));
}

bool acts(const world& it, const host& at) {
    return at.runs && it.now >= at.paused_until;
}

int delay(world& it) {
    return chance(it, 10) ? 100 + pick(it, 1500) : 1 + pick(it, 30);
}

void send(world& it, message sent) {
    if (chance(it, 5) || it.cut[static_cast<std::size_t>(sent.from)][static_cast<std::size_t>(sent.to)]) {
        return;
    }
    sent.due = it.now + delay(it);
    sent.order = it.next_order++;
    it.messages.push(std::move(sent));
}

generation without_history(generation members) {
    members.departed.clear();
    members.floor = members.number;
    for (auto& member : members.members) {
        member.joined = 0;
    }
    return members;
}

void settle(world& it, host& at) {
    if (at.known->version <= at.accepted) {
        return;
    }
    const auto& members = at.known->members;
    const auto weighed =
        weigh_acceptance(it.chosen == rule::newest_members_only ? without_history(members) : members,
                         at.known->version, at.confirmations, with_drift(length));
    if (weighed.accepted_at <= clock_of(it, at)) {
        at.accepted = at.known->version;
        at.accepted_generation = at.known->members.number;
        std::erase_if(at.confirmations, [&](const auto& seen) { return seen.version < at.accepted; });
        it.accepted = std::max(it.accepted, at.accepted);
        ++it.result.accepted;
    }
}

void confirm(world& it, host& at, int index, std::uint64_t incarnation, std::uint64_t version) {
    const std::string name = names.at(static_cast<std::size_t>(index));
    for (const auto& seen : at.confirmations) {
        if (seen.name == name && seen.incarnation == incarnation && seen.version >= version) {
            return;
        }
    }
    at.confirmations.push_back({name, incarnation, version, clock_of(it, at)});
}

void take(world& it, int index, const record_ptr& fresh) {
    auto& at = it.hosts.at(static_cast<std::size_t>(index));
    if (fresh->version > at.known->version) {
        at.known = fresh;
        confirm(it, at, index, at.incarnation, fresh->version);
    }
}

void extend(world& it, int index) {
    auto& at = it.hosts.at(static_cast<std::size_t>(index));
    const auto& name = names.at(static_cast<std::size_t>(index));
    if (it.chosen == rule::fail_closed) {
        return;
    }
    if (it.chosen != rule::half_is_enough) {
        extend_by_members(at.held, at.known->members, {name, at.incarnation, at.known->version}, at.answers,
                          clock_of(it, at), length);
        return;
    }
    auto members = at.known->members;
    if (members.members.size() % 2 == 0 && members.members.size() > 1) {
        // One member fewer makes half of an even number a majority; an absent answer is dropped.
        const auto absent = std::find_if(members.members.begin(), members.members.end(), [&](const auto& m) {
            return m.name != name && std::none_of(at.answers.begin(), at.answers.end(), [&](const auto& a) {
                       return a.name == m.name && a.asked_at + length > clock_of(it, at);
                   });
        });
        if (absent != members.members.end()) {
            members.members.erase(absent);
        }
    }
    extend_by_members(at.held, members, {name, at.incarnation, at.known->version}, at.answers,
                      clock_of(it, at), length);
}

void take_answer(world& it, const message& got) {
    auto& at = it.hosts.at(static_cast<std::size_t>(got.to));
    take(it, got.to, got.known);
    confirm(it, at, got.from, got.from_incarnation, got.known->version);
    const auto asked_at = it.chosen == rule::from_receipt ? clock_of(it, at) : got.asked_at;
    const std::string name = names.at(static_cast<std::size_t>(got.from));
    const auto kept =
        std::find_if(at.answers.begin(), at.answers.end(), [&](const auto& a) { return a.name == name; });
    const member_answer answer{name, got.from_incarnation, asked_at, got.known->version};
    if (kept == at.answers.end()) {
        at.answers.push_back(answer);
    } else if (kept->asked_at <= asked_at || kept->incarnation != got.from_incarnation) {
        *kept = answer;
    }
    extend(it, got.to);
    settle(it, at);
}

void take_store_answer(world& it, const message& got) {
    auto& at = it.hosts.at(static_cast<std::size_t>(got.to));
    take(it, got.to, got.known);
    if (is_member(at.known->members, names.at(static_cast<std::size_t>(got.to)), at.incarnation)) {
        extend_by_store(at.held, it.chosen == rule::from_receipt ? clock_of(it, at) : got.asked_at, length);
    }
    settle(it, at);
}

void take_question(world& it, const message& got) {
    auto& at = it.hosts.at(static_cast<std::size_t>(got.to));
    confirm(it, at, got.from, got.from_incarnation, got.known->version);
    take(it, got.to, got.known);
    settle(it, at);
    message answer;
    answer.what = kind::answer;
    answer.from = got.to;
    answer.to = got.from;
    answer.from_incarnation = at.incarnation;
    answer.to_incarnation = got.from_incarnation;
    answer.asked_at = got.asked_at;
    answer.known = at.known;
    send(it, std::move(answer));
}

void deliver(world& it, message got) {
    auto& at = it.hosts.at(static_cast<std::size_t>(got.to));
    if (!at.runs || (got.to_incarnation != 0 && at.incarnation != got.to_incarnation)) {
        return;
    }
    if (it.now < at.paused_until) {
        // It stays in the socket buffer of the paused host.
        got.due = at.paused_until;
        it.messages.push(std::move(got));
        return;
    }
    switch (got.what) {
    case kind::question:
        take_question(it, got);
        break;
    case kind::answer:
        take_answer(it, got);
        break;
    case kind::store_answer:
        take_store_answer(it, got);
        break;
    }
}

bool reaches_store(const world& it, int index) {
    return !it.store_down && !it.cut[static_cast<std::size_t>(index)][host_limit];
}

void ask_store(world& it, int index) {
    if (!reaches_store(it, index)) {
        return;
    }
    message answer;
    answer.what = kind::store_answer;
    answer.from = host_limit;
    answer.to = index;
    answer.to_incarnation = it.hosts.at(static_cast<std::size_t>(index)).incarnation;
    answer.asked_at = clock_of(it, it.hosts.at(static_cast<std::size_t>(index)));
    answer.known = it.stored;
    send(it, std::move(answer));
}

void beat(world& it, int index) {
    auto& at = it.hosts.at(static_cast<std::size_t>(index));
    at.next_beat = it.now + beat_ms + pick(it, beat_ms / 2);
    for (int other = 0; other < host_limit; ++other) {
        if (other == index ||
            find_member(at.known->members, names.at(static_cast<std::size_t>(other))) == nullptr) {
            continue;
        }
        message question;
        question.from = index;
        question.to = other;
        question.from_incarnation = at.incarnation;
        question.asked_at = clock_of(it, at);
        question.known = at.known;
        send(it, std::move(question));
    }
    ask_store(it, index);
    extend(it, index);
    settle(it, at);
}

// A compare-and-swap from what the host knows; its answer may be lost after the write.
void write(world& it, int index, generation members) {
    auto& at = it.hosts.at(static_cast<std::size_t>(index));
    if (!reaches_store(it, index) || it.stored->version != at.known->version) {
        return;
    }
    it.result.changes_of_members += members.number != it.stored->members.number ? 1 : 0;
    raise_floor(members, at.accepted_generation);
    it.stored = std::make_shared<record>(record{at.known->version + 1, std::move(members)});
    if (!chance(it, 20)) {
        take(it, index, it.stored);
        settle(it, at);
    }
}

member self_of(const host& at, int index) {
    member self;
    self.name = names.at(static_cast<std::size_t>(index));
    self.incarnation = at.incarnation;
    return self;
}

void start(world& it, int index) {
    host fresh;
    fresh.runs = true;
    fresh.incarnation = it.next_incarnation++;
    fresh.rate = 0.995 + 0.01 * pick(it, 100) / 100;
    fresh.offset_ms = pick(it, 100'000);
    fresh.next_beat = it.now;
    it.hosts.at(static_cast<std::size_t>(index)) = fresh;
}

// A new process knows nothing: it reads the store and joins from what it read, maybe a while ago.
void join(world& it, int index) {
    auto& at = it.hosts.at(static_cast<std::size_t>(index));
    if (acts(it, at) &&
        !is_member(at.known->members, names.at(static_cast<std::size_t>(index)), at.incarnation)) {
        write(it, index, with_member(at.known->members, self_of(at, index)));
    }
}

void remove_some(world& it, int index) {
    const auto& at = it.hosts.at(static_cast<std::size_t>(index));
    if (!acts(it, at) || at.known->members.members.size() < 2) {
        return;
    }
    const auto n = static_cast<std::size_t>(pick(it, static_cast<int>(at.known->members.members.size())));
    const auto target = at.known->members.members[n];
    write(it, index, without_member(at.known->members, target.name, target.incarnation, departure::silent));
}

void leave(world& it, int index) {
    auto& at = it.hosts.at(static_cast<std::size_t>(index));
    if (!acts(it, at)) {
        return;
    }
    at.held.deadline = time_point();
    write(it, index,
          without_member(at.known->members, names.at(static_cast<std::size_t>(index)), at.incarnation));
    at.runs = false;
}

void change_cuts(world& it) {
    if (chance(it, 50)) {
        it.cut = {};
        return;
    }
    const auto side = static_cast<std::uint64_t>(pick(it, 1 << host_limit));
    for (std::size_t a = 0; a < host_limit; ++a) {
        for (std::size_t b = 0; b < host_limit; ++b) {
            it.cut[a][b] = ((side >> a) & 1U) != ((side >> b) & 1U);
        }
        it.cut[a][host_limit] = ((side >> a) & 1U) != 0 && chance(it, 70);
    }
}

void disturb(world& it) {
    const int index = pick(it, host_limit);
    auto& at = it.hosts.at(static_cast<std::size_t>(index));
    switch (pick(it, 12)) {
    case 0:
    case 1:
    case 2:
        if (acts(it, at) && at.known->version != 0) {
            write(it, index, at.known->members);
        }
        break;
    case 3:
    case 4:
        change_cuts(it);
        break;
    case 5:
        it.store_down = !it.store_down;
        break;
    case 6:
        at.paused_until = it.now + pick(it, 3000);
        break;
    case 7:
        start(it, index);
        break;
    case 8:
        remove_some(it, index);
        break;
    case 9:
        leave(it, index);
        break;
    default:
        break;
    }
}

void admit(world& it, const host& at, int index) {
    if (!acts(it, at) ||
        !is_member(at.known->members, names.at(static_cast<std::size_t>(index)), at.incarnation)) {
        return;
    }
    const bool open = it.chosen == rule::serve_on ? at.known->version != 0 : holds(at.held, clock_of(it, at));
    if (!open) {
        ++it.result.refusals;
        return;
    }
    ++it.result.admissions;
    it.result.breaches += at.known->version < it.accepted ? 1 : 0;
}

void step(world& it) {
    while (!it.messages.empty() && it.messages.top().due <= it.now) {
        auto next = it.messages.top();
        it.messages.pop();
        deliver(it, std::move(next));
    }
    for (int index = 0; index < host_limit; ++index) {
        auto& at = it.hosts.at(static_cast<std::size_t>(index));
        if (acts(it, at) && it.now >= at.next_beat) {
            beat(it, index);
            join(it, index);
        }
        admit(it, at, index);
    }
    if (chance(it, 10)) {
        disturb(it);
    }
}

} // namespace

history_result run_history(std::uint64_t seed, rule chosen) {
    world it;
    it.chosen = chosen;
    it.random.seed(seed);
    const int first = 2 + pick(it, host_limit - 1);
    for (int index = 0; index < first; ++index) {
        start(it, index);
    }
    for (; it.now < history_ms; it.now += step_ms) {
        step(it);
    }
    return it.result;
}

} // namespace lycheegap::membership
