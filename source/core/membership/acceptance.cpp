#include "acceptance.h"

#include <algorithm>

namespace lycheegap::membership {

namespace {

using common::time_point;

constexpr int drift_percent = 2;

/// One incarnation and the generations that counted it.
struct voter {
    std::string_view name;
    std::uint64_t joined{0};
    std::uint64_t left{UINT64_MAX};
    /// The maximum as long as it has not confirmed.
    time_point confirmed_at{time_point::max()};
};

time_point first_heard(std::span<const confirmation> heard, std::string_view name, std::uint64_t incarnation,
                       std::uint64_t version) {
    auto first = time_point::max();
    for (const auto& it : heard) {
        if (it.version >= version && it.incarnation == incarnation && it.name == name) {
            first = std::min(first, it.heard_at);
        }
    }
    return first;
}

std::vector<voter> all_voters(const generation& current, std::uint64_t version,
                              std::span<const confirmation> heard) {
    std::vector<voter> voters;
    voters.reserve(current.members.size() + current.departed.size());
    for (const auto& it : current.members) {
        voters.push_back(
            {it.name, it.joined, UINT64_MAX, first_heard(heard, it.name, it.incarnation, version)});
    }
    for (const auto& it : current.departed) {
        const auto at = it.gave_up ? time_point::min() : first_heard(heard, it.name, it.incarnation, version);
        voters.push_back({it.name, it.joined, it.left, at});
    }
    return voters;
}

// Generations between two changes have the same members, so only those with a change are looked at.
std::vector<std::uint64_t> distinct_generations(const generation& current, std::span<const voter> voters) {
    std::vector<std::uint64_t> numbers{current.floor};
    for (const auto& it : voters) {
        for (const auto number : {it.joined, it.left}) {
            if (number > current.floor && number <= current.number) {
                numbers.push_back(number);
            }
        }
    }
    std::sort(numbers.begin(), numbers.end());
    numbers.erase(std::unique(numbers.begin(), numbers.end()), numbers.end());
    return numbers;
}

// Moment of the confirmation with which at least half of generation `number` has confirmed: the others are
// then no majority.
time_point half_confirmed_at(std::span<const voter> voters, std::uint64_t number) {
    std::vector<time_point> moments;
    for (const auto& it : voters) {
        if (it.joined <= number && number < it.left) {
            moments.push_back(it.confirmed_at);
        }
    }
    if (moments.empty()) {
        return time_point::min();
    }
    const auto needed = (moments.size() + 1) / 2;
    const auto last = moments.begin() + static_cast<std::ptrdiff_t>(needed) - 1;
    std::nth_element(moments.begin(), last, moments.end());
    return *last;
}

} // namespace

acceptance weigh_acceptance(const generation& current, std::uint64_t version,
                            std::span<const confirmation> heard, common::milliseconds wait) {
    const auto voters = all_voters(current, version, heard);
    acceptance weighed;
    auto last = time_point::min();
    for (const auto& it : voters) {
        last = std::max(last, it.confirmed_at);
        if (it.confirmed_at == time_point::max()) {
            weighed.waiting_for.emplace_back(it.name);
        }
    }
    std::sort(weighed.waiting_for.begin(), weighed.waiting_for.end());
    if (weighed.waiting_for.empty()) {
        weighed.accepted_at = last;
        return weighed;
    }
    auto needed = time_point::min();
    for (const auto number : distinct_generations(current, voters)) {
        needed = std::max(needed, half_confirmed_at(voters, number));
    }
    if (needed != time_point::max()) {
        // Without any confirmation there is no moment to wait from.
        weighed.accepted_at = needed == time_point::min() ? time_point::max() : needed + wait;
    }
    return weighed;
}

common::milliseconds with_drift(common::milliseconds length) {
    return length + length * drift_percent / 100 + common::milliseconds(1);
}

} // namespace lycheegap::membership
