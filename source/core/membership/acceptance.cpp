#include "acceptance.h"

#include <algorithm>

namespace lycheegap::membership {

namespace {

using common::time_point;

constexpr int max_clock_drift_percent = 2;

/// An incarnation that was a member from generation `joined` until the one before `left`.
struct voter {
    std::string_view name;
    std::uint64_t joined{0};
    std::uint64_t left{UINT64_MAX};
    /// The maximum while it has not confirmed; the minimum if it stopped and need not confirm.
    time_point confirmed_at{time_point::max()};
};

time_point first_confirmed_at(std::span<const confirmation> confirmations, std::string_view name,
                              std::uint64_t incarnation, std::uint64_t version) {
    auto first = time_point::max();
    for (const auto& it : confirmations) {
        if (it.version >= version && it.incarnation == incarnation && it.name == name) {
            first = std::min(first, it.heard_at);
        }
    }
    return first;
}

std::vector<voter> collect_voters(const generation& current, std::uint64_t version,
                                  std::span<const confirmation> confirmations) {
    std::vector<voter> voters;
    voters.reserve(current.members.size() + current.departed.size());
    for (const auto& it : current.members) {
        voters.push_back({it.name, it.joined, UINT64_MAX,
                          first_confirmed_at(confirmations, it.name, it.incarnation, version)});
    }
    for (const auto& it : current.departed) {
        const auto at = it.gave_up ? time_point::min()
                                   : first_confirmed_at(confirmations, it.name, it.incarnation, version);
        voters.push_back({it.name, it.joined, it.left, at});
    }
    return voters;
}

// The floor and the later generations in which an incarnation joined or left. Those between have the same
// members as the one before.
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

// Time at which half of the members of generation `number` have confirmed. The others are then no majority,
// and answers of those that confirmed do not extend the authority of a host with an older version.
time_point half_confirmed_at(std::span<const voter> voters, std::uint64_t number) {
    std::vector<time_point> confirmation_times;
    for (const auto& it : voters) {
        if (it.joined <= number && number < it.left) {
            confirmation_times.push_back(it.confirmed_at);
        }
    }
    if (confirmation_times.empty()) {
        return time_point::min();
    }
    const auto needed = (confirmation_times.size() + 1) / 2;
    const auto last = confirmation_times.begin() + static_cast<std::ptrdiff_t>(needed) - 1;
    std::nth_element(confirmation_times.begin(), last, confirmation_times.end());
    return *last;
}

} // namespace

acceptance evaluate_acceptance(const generation& current, std::uint64_t version,
                               std::span<const confirmation> confirmations, common::milliseconds lease_wait) {
    const auto voters = collect_voters(current, version, confirmations);
    acceptance result;
    auto all_confirmed_at = time_point::min();
    for (const auto& it : voters) {
        all_confirmed_at = std::max(all_confirmed_at, it.confirmed_at);
        if (it.confirmed_at == time_point::max()) {
            result.waiting_for.emplace_back(it.name);
        }
    }
    std::sort(result.waiting_for.begin(), result.waiting_for.end());
    if (result.waiting_for.empty()) {
        result.accepted_at = all_confirmed_at;
        return result;
    }
    auto half_confirmed = time_point::min();
    for (const auto number : distinct_generations(current, voters)) {
        half_confirmed = std::max(half_confirmed, half_confirmed_at(voters, number));
    }
    if (half_confirmed != time_point::max()) {
        // The minimum means that no generation needed a confirmation, so there is no time to wait from.
        result.accepted_at =
            half_confirmed == time_point::min() ? time_point::max() : half_confirmed + lease_wait;
    }
    return result;
}

common::milliseconds add_clock_drift(common::milliseconds length) {
    return length + length * max_clock_drift_percent / 100 + common::milliseconds(1);
}

} // namespace lycheegap::membership
