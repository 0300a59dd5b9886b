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

constexpr int max_hosts = 6;
constexpr int history_ms = 9000;
constexpr int step_ms = 50;
constexpr int heartbeat_ms = 200;
constexpr milliseconds authority_length(1000);
constexpr std::array host_names{"a", "b", "c", "d", "e", "f"};

/// One version of the control state, as in the store.
struct record {
    std::uint64_t version{0};
    generation members;
};

using record_ptr = std::shared_ptr<const record>;

/// A simulated host and what it knows.
struct host {
    bool runs{false};
    std::uint64_t incarnation{0};
    /// Rate and offset of its clock against simulated time.
    double rate{1};
    int offset_ms{0};
    int paused_until_ms{0};
    record_ptr known{std::make_shared<record>()};
    authority_lease own_authority;
    std::vector<member_answer> answers;
    std::vector<confirmation> confirmations;
    std::uint64_t accepted{0};
    std::uint64_t accepted_generation{0};
    int next_heartbeat_ms{0};
};

enum class message_kind : std::uint8_t { question, answer, store_answer };

struct message {
    int due_ms{0};
    std::uint64_t sequence{0};
    message_kind kind{message_kind::question};
    int from{0};
    int to{0};
    std::uint64_t from_incarnation{0};
    std::uint64_t to_incarnation{0};
    /// When the question was sent, on the asking host's clock.
    time_point asked_at;
    record_ptr known{std::make_shared<record>()};
};

struct is_due_later {
    bool operator()(const message& a, const message& b) const {
        return a.due_ms != b.due_ms ? a.due_ms > b.due_ms : a.sequence > b.sequence;
    }
};

struct simulation {
    rule chosen{rule::product};
    std::mt19937_64 random;
    int now_ms{0};
    record_ptr stored{std::make_shared<record>()};
    bool store_down{false};
    std::array<host, max_hosts> hosts;
    /// cut[a][b]: no message gets from host a to host b. The last index is the store.
    std::array<std::array<bool, max_hosts + 1>, max_hosts + 1> cut{};
    std::priority_queue<message, std::vector<message>, is_due_later> messages;
    std::uint64_t next_sequence{0};
    std::uint64_t next_incarnation{1};
    std::uint64_t accepted{0};
    int quiet_from{0};
    history_result result;
};

int random_below(simulation& sim, int n) {
    return static_cast<int>(sim.random() % static_cast<std::uint64_t>(n));
}

bool happens(simulation& sim, int percent) {
    return random_below(sim, 100) < percent;
}

time_point clock_of(const simulation& sim, const host& self) {
    return time_point(milliseconds(1'000'000 + self.offset_ms) +
                      std::chrono::microseconds(static_cast<std::int64_t>(sim.now_ms * 1000 * self.rate)));
}

bool is_active(const simulation& sim, const host& self) {
    return self.runs && sim.now_ms >= self.paused_until_ms;
}

int random_delay_ms(simulation& sim) {
    return happens(sim, 10) ? 100 + random_below(sim, 1500) : 1 + random_below(sim, 30);
}

void send(simulation& sim, message sent) {
    if (happens(sim, 5) || sim.cut[static_cast<std::size_t>(sent.from)][static_cast<std::size_t>(sent.to)]) {
        return;
    }
    sent.due_ms = sim.now_ms + random_delay_ms(sim);
    sent.sequence = sim.next_sequence++;
    sim.messages.push(std::move(sent));
}

generation without_history(generation members) {
    members.departed.clear();
    members.floor = members.number;
    for (auto& member : members.members) {
        member.joined = 0;
    }
    return members;
}

void check_acceptance(simulation& sim, host& self) {
    if (self.known->version <= self.accepted) {
        return;
    }
    const auto& members = self.known->members;
    const auto progress =
        evaluate_acceptance(sim.chosen == rule::newest_members_only ? without_history(members) : members,
                            self.known->version, self.confirmations, add_clock_drift(authority_length));
    if (progress.accepted_at <= clock_of(sim, self)) {
        self.accepted = self.known->version;
        self.accepted_generation = self.known->members.number;
        std::erase_if(self.confirmations, [&](const auto& seen) { return seen.version < self.accepted; });
        sim.accepted = std::max(sim.accepted, self.accepted);
        ++sim.result.accepted;
    }
}

void record_confirmation(simulation& sim, host& self, int index, std::uint64_t incarnation,
                         std::uint64_t version) {
    const std::string name = host_names.at(static_cast<std::size_t>(index));
    for (const auto& seen : self.confirmations) {
        if (seen.name == name && seen.incarnation == incarnation && seen.version >= version) {
            return;
        }
    }
    self.confirmations.push_back({name, incarnation, version, clock_of(sim, self)});
}

void adopt_record(simulation& sim, int index, const record_ptr& fresh) {
    auto& self = sim.hosts.at(static_cast<std::size_t>(index));
    if (fresh->version > self.known->version) {
        self.known = fresh;
        record_confirmation(sim, self, index, self.incarnation, fresh->version);
    }
}

void extend_authority(simulation& sim, int index) {
    auto& self = sim.hosts.at(static_cast<std::size_t>(index));
    const auto& name = host_names.at(static_cast<std::size_t>(index));
    if (sim.chosen == rule::fail_closed) {
        return;
    }
    if (sim.chosen != rule::half_is_enough) {
        extend_by_members(self.own_authority, self.known->members,
                          {name, self.incarnation, self.known->version}, self.answers, clock_of(sim, self),
                          authority_length);
        return;
    }
    auto members = self.known->members;
    if (members.members.size() % 2 == 0 && members.members.size() > 1) {
        // Half of an even number of members is a majority once one of them is left out, here one without a
        // recent answer.
        const auto absent = std::find_if(members.members.begin(), members.members.end(), [&](const auto& m) {
            return m.name != name &&
                   std::none_of(self.answers.begin(), self.answers.end(), [&](const auto& a) {
                       return a.name == m.name && a.asked_at + authority_length > clock_of(sim, self);
                   });
        });
        if (absent != members.members.end()) {
            members.members.erase(absent);
        }
    }
    extend_by_members(self.own_authority, members, {name, self.incarnation, self.known->version},
                      self.answers, clock_of(sim, self), authority_length);
}

void handle_answer(simulation& sim, const message& received) {
    auto& self = sim.hosts.at(static_cast<std::size_t>(received.to));
    adopt_record(sim, received.to, received.known);
    record_confirmation(sim, self, received.from, received.from_incarnation, received.known->version);
    const auto asked_at = sim.chosen == rule::from_receipt ? clock_of(sim, self) : received.asked_at;
    const std::string name = host_names.at(static_cast<std::size_t>(received.from));
    const auto previous =
        std::find_if(self.answers.begin(), self.answers.end(), [&](const auto& a) { return a.name == name; });
    const member_answer answer{name, received.from_incarnation, asked_at, received.known->version};
    if (previous == self.answers.end()) {
        self.answers.push_back(answer);
    } else if (previous->asked_at <= asked_at || previous->incarnation != received.from_incarnation) {
        *previous = answer;
    }
    extend_authority(sim, received.to);
    check_acceptance(sim, self);
}

void handle_store_answer(simulation& sim, const message& received) {
    auto& self = sim.hosts.at(static_cast<std::size_t>(received.to));
    adopt_record(sim, received.to, received.known);
    if (is_member(self.known->members, host_names.at(static_cast<std::size_t>(received.to)),
                  self.incarnation)) {
        extend_by_store(self.own_authority,
                        sim.chosen == rule::from_receipt ? clock_of(sim, self) : received.asked_at,
                        authority_length);
    }
    check_acceptance(sim, self);
}

void handle_question(simulation& sim, const message& received) {
    auto& self = sim.hosts.at(static_cast<std::size_t>(received.to));
    record_confirmation(sim, self, received.from, received.from_incarnation, received.known->version);
    adopt_record(sim, received.to, received.known);
    check_acceptance(sim, self);
    message answer;
    answer.kind = message_kind::answer;
    answer.from = received.to;
    answer.to = received.from;
    answer.from_incarnation = self.incarnation;
    answer.to_incarnation = received.from_incarnation;
    answer.asked_at = received.asked_at;
    answer.known = self.known;
    send(sim, std::move(answer));
}

void deliver(simulation& sim, message received) {
    auto& self = sim.hosts.at(static_cast<std::size_t>(received.to));
    if (!self.runs || (received.to_incarnation != 0 && self.incarnation != received.to_incarnation)) {
        return;
    }
    if (sim.now_ms < self.paused_until_ms) {
        // It waits in the socket buffer of the paused host.
        received.due_ms = self.paused_until_ms;
        sim.messages.push(std::move(received));
        return;
    }
    switch (received.kind) {
    case message_kind::question:
        handle_question(sim, received);
        break;
    case message_kind::answer:
        handle_answer(sim, received);
        break;
    case message_kind::store_answer:
        handle_store_answer(sim, received);
        break;
    }
}

bool can_reach_store(const simulation& sim, int index) {
    return !sim.store_down && !sim.cut[static_cast<std::size_t>(index)][max_hosts];
}

void ask_store(simulation& sim, int index) {
    if (!can_reach_store(sim, index)) {
        return;
    }
    message answer;
    answer.kind = message_kind::store_answer;
    answer.from = max_hosts;
    answer.to = index;
    answer.to_incarnation = sim.hosts.at(static_cast<std::size_t>(index)).incarnation;
    answer.asked_at = clock_of(sim, sim.hosts.at(static_cast<std::size_t>(index)));
    answer.known = sim.stored;
    send(sim, std::move(answer));
}

void send_heartbeats(simulation& sim, int index) {
    auto& self = sim.hosts.at(static_cast<std::size_t>(index));
    self.next_heartbeat_ms = sim.now_ms + heartbeat_ms + random_below(sim, heartbeat_ms / 2);
    for (int other = 0; other < max_hosts; ++other) {
        if (other == index ||
            find_member(self.known->members, host_names.at(static_cast<std::size_t>(other))) == nullptr) {
            continue;
        }
        message question;
        question.from = index;
        question.to = other;
        question.from_incarnation = self.incarnation;
        question.asked_at = clock_of(sim, self);
        question.known = self.known;
        send(sim, std::move(question));
    }
    ask_store(sim, index);
    extend_authority(sim, index);
    check_acceptance(sim, self);
}

// A compare-and-swap against the version that the host knows. The answer may be lost after the write.
void write_record(simulation& sim, int index, generation members) {
    auto& self = sim.hosts.at(static_cast<std::size_t>(index));
    if (!can_reach_store(sim, index) || sim.stored->version != self.known->version) {
        return;
    }
    sim.result.membership_changes += members.number != sim.stored->members.number ? 1 : 0;
    raise_floor(members, self.accepted_generation);
    sim.stored = std::make_shared<record>(record{self.known->version + 1, std::move(members)});
    if (!happens(sim, 20)) {
        adopt_record(sim, index, sim.stored);
        check_acceptance(sim, self);
    }
}

member self_of(const host& source, int index) {
    member self;
    self.name = host_names.at(static_cast<std::size_t>(index));
    self.incarnation = source.incarnation;
    return self;
}

void start_host(simulation& sim, int index) {
    host fresh;
    fresh.runs = true;
    fresh.incarnation = sim.next_incarnation++;
    fresh.rate = 0.995 + 0.01 * random_below(sim, 100) / 100;
    fresh.offset_ms = random_below(sim, 100'000);
    fresh.next_heartbeat_ms = sim.now_ms;
    sim.hosts.at(static_cast<std::size_t>(index)) = fresh;
}

// A new process joins with a write based on the record that it last received, which may be old by then.
void join_host(simulation& sim, int index) {
    auto& self = sim.hosts.at(static_cast<std::size_t>(index));
    if (is_active(sim, self) &&
        !is_member(self.known->members, host_names.at(static_cast<std::size_t>(index)), self.incarnation)) {
        write_record(sim, index, with_member(self.known->members, self_of(self, index)));
    }
}

void remove_random_member(simulation& sim, int index) {
    const auto& self = sim.hosts.at(static_cast<std::size_t>(index));
    if (!is_active(sim, self) || self.known->members.members.size() < 2) {
        return;
    }
    const auto n =
        static_cast<std::size_t>(random_below(sim, static_cast<int>(self.known->members.members.size())));
    const auto target = self.known->members.members[n];
    write_record(sim, index,
                 without_member(self.known->members, target.name, target.incarnation, departure::silent));
}

void stop_host(simulation& sim, int index) {
    auto& self = sim.hosts.at(static_cast<std::size_t>(index));
    if (!is_active(sim, self)) {
        return;
    }
    self.own_authority.deadline = time_point();
    write_record(sim, index,
                 without_member(self.known->members, host_names.at(static_cast<std::size_t>(index)),
                                self.incarnation));
    self.runs = false;
}

void change_partition(simulation& sim) {
    if (happens(sim, 50)) {
        sim.cut = {};
        return;
    }
    const auto side = static_cast<std::uint64_t>(random_below(sim, 1 << max_hosts));
    for (std::size_t a = 0; a < max_hosts; ++a) {
        for (std::size_t b = 0; b < max_hosts; ++b) {
            sim.cut[a][b] = ((side >> a) & 1U) != ((side >> b) & 1U);
        }
        sim.cut[a][max_hosts] = ((side >> a) & 1U) != 0 && happens(sim, 70);
    }
}

void inject_fault(simulation& sim) {
    const int index = random_below(sim, max_hosts);
    auto& self = sim.hosts.at(static_cast<std::size_t>(index));
    switch (random_below(sim, 12)) {
    case 0:
    case 1:
    case 2:
        if (is_active(sim, self) && self.known->version != 0) {
            write_record(sim, index, self.known->members);
        }
        break;
    case 3:
    case 4:
        change_partition(sim);
        break;
    case 5:
        sim.store_down = !sim.store_down;
        break;
    case 6:
        self.paused_until_ms = sim.now_ms + random_below(sim, 3000);
        break;
    case 7:
        start_host(sim, index);
        break;
    case 8:
        remove_random_member(sim, index);
        break;
    case 9:
        stop_host(sim, index);
        break;
    default:
        break;
    }
}

void try_admit(simulation& sim, const host& self, int index) {
    if (!is_active(sim, self) ||
        !is_member(self.known->members, host_names.at(static_cast<std::size_t>(index)), self.incarnation)) {
        return;
    }
    const bool may_admit = sim.chosen == rule::serve_on
                               ? self.known->version != 0
                               : is_lease_valid(self.own_authority, clock_of(sim, self));
    if (!may_admit) {
        ++sim.result.refusals;
        return;
    }
    ++sim.result.admissions;
    sim.result.stale_admissions += self.known->version < sim.accepted ? 1 : 0;
}

void step(simulation& sim) {
    while (!sim.messages.empty() && sim.messages.top().due_ms <= sim.now_ms) {
        auto next = sim.messages.top();
        sim.messages.pop();
        deliver(sim, std::move(next));
    }
    for (int index = 0; index < max_hosts; ++index) {
        auto& self = sim.hosts.at(static_cast<std::size_t>(index));
        if (is_active(sim, self) && sim.now_ms >= self.next_heartbeat_ms) {
            send_heartbeats(sim, index);
            join_host(sim, index);
        }
        try_admit(sim, self, index);
    }
    if (happens(sim, 10)) {
        inject_fault(sim);
    }
}

} // namespace

history_result run_history(std::uint64_t seed, rule chosen) {
    simulation sim;
    sim.chosen = chosen;
    sim.random.seed(seed);
    const int initial_hosts = 2 + random_below(sim, max_hosts - 1);
    for (int index = 0; index < initial_hosts; ++index) {
        start_host(sim, index);
    }
    for (; sim.now_ms < history_ms; sim.now_ms += step_ms) {
        step(sim);
    }
    return sim.result;
}

} // namespace lycheegap::membership
