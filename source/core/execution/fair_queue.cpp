#include "fair_queue.h"

#include <algorithm>

namespace lycheegap::execution {

namespace {

team_queues& queues_of(fair_queue& queue, catalog::work_class work) {
    return work == catalog::work_class::deferrable ? queue.deferrable : queue.urgent;
}

double& virtual_time_of(fair_queue& queue, catalog::work_class work) {
    return work == catalog::work_class::deferrable ? queue.deferrable_virtual_time
                                                   : queue.urgent_virtual_time;
}

std::size_t count_waiting(const fair_queue& queue, std::string_view team) {
    std::size_t n = 0;
    for (const auto* queues : {&queue.urgent, &queue.deferrable}) {
        const auto it = queues->find(team);
        n += it == queues->end() ? 0 : it->second.waiting.size();
    }
    return n;
}

/// The request that a set of team queues would serve next.
struct candidate {
    std::string_view team;
    std::uint64_t number{0};
    double virtual_time{0};
};

/// Oldest request of a team whose deadline has not passed, or null.
const std::pair<const std::uint64_t, waiting_request>* first_unexpired(const team_queue& queue,
                                                                       common::time_point now) {
    const auto it = std::find_if(queue.waiting.begin(), queue.waiting.end(),
                                 [&](const auto& one) { return one.second.deadline > now; });
    return it == queue.waiting.end() ? nullptr : &*it;
}

std::optional<candidate> next_candidate(const team_queues& queues, common::time_point now) {
    std::optional<candidate> best;
    for (const auto& [team, queue] : queues) {
        const auto* first = first_unexpired(queue, now);
        if (first == nullptr) {
            continue;
        }
        const bool goes_first =
            !best || queue.next_virtual_time < best->virtual_time ||
            (queue.next_virtual_time == best->virtual_time && first->first < best->number);
        if (goes_first) {
            best = candidate{team, first->first, queue.next_virtual_time};
        }
    }
    return best;
}

queue_place to_place(catalog::work_class work, const candidate& chosen) {
    return {work, std::string(chosen.team), chosen.number};
}

} // namespace

std::optional<queue_place> enter_queue(fair_queue& queue, catalog::work_class work, std::string_view team,
                                       common::time_point deadline) {
    if (queue.length >= queue.limits.length || count_waiting(queue, team) >= queue.limits.team_length) {
        return std::nullopt;
    }
    auto& entered = queues_of(queue, work)[std::string(team)];
    if (entered.waiting.empty()) {
        // A team that had no waiting requests gets no credit for that time.
        entered.next_virtual_time = std::max(entered.next_virtual_time, virtual_time_of(queue, work));
    }
    const auto number = queue.next_number++;
    entered.waiting[number] = {deadline};
    ++queue.length;
    return queue_place{work, std::string(team), number};
}

std::optional<queue_place> next_in_queue(const fair_queue& queue, common::time_point now) {
    const auto urgent = next_candidate(queue.urgent, now);
    const auto deferrable = next_candidate(queue.deferrable, now);
    const bool deferrable_is_due = queue.consecutive_urgent_grants + 1 >= queue.limits.deferrable_interval;
    if (deferrable && (!urgent || deferrable_is_due)) {
        return to_place(catalog::work_class::deferrable, *deferrable);
    }
    return urgent ? std::optional(to_place(catalog::work_class::interactive, *urgent)) : std::nullopt;
}

void grant_place(fair_queue& queue, const queue_place& place) {
    auto& queues = queues_of(queue, place.work);
    const auto it = queues.find(place.team);
    if (it != queues.end()) {
        virtual_time_of(queue, place.work) = it->second.next_virtual_time;
        it->second.next_virtual_time += 1;
    }
    const bool is_deferrable = place.work == catalog::work_class::deferrable;
    queue.consecutive_urgent_grants = is_deferrable ? 0 : queue.consecutive_urgent_grants + 1;
    leave_queue(queue, place);
}

void leave_queue(fair_queue& queue, const queue_place& place) {
    auto& queues = queues_of(queue, place.work);
    const auto it = queues.find(place.team);
    if (it == queues.end()) {
        return;
    }
    queue.length -= it->second.waiting.erase(place.number);
    // An empty team queue is dropped once its virtual time no longer lies ahead of the last grant's; until
    // then it keeps a team that was just served from entering again ahead of the others.
    std::erase_if(queues, [&](const auto& one) {
        return one.second.waiting.empty() &&
               one.second.next_virtual_time <= virtual_time_of(queue, place.work);
    });
}

} // namespace lycheegap::execution
