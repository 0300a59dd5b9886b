#include "fair_queue.h"

#include <algorithm>

namespace lycheegap::execution {

namespace {

class_lines& lines_of(fair_queue& queue, catalog::work_class work) {
    return work == catalog::work_class::deferrable ? queue.deferrable : queue.urgent;
}

double& turn_of(fair_queue& queue, catalog::work_class work) {
    return work == catalog::work_class::deferrable ? queue.deferrable_turn : queue.urgent_turn;
}

std::size_t waiting_of(const fair_queue& queue, std::string_view team) {
    std::size_t n = 0;
    for (const auto* lines : {&queue.urgent, &queue.deferrable}) {
        const auto it = lines->find(team);
        n += it == lines->end() ? 0 : it->second.waiting.size();
    }
    return n;
}

struct turn {
    std::string_view team;
    std::uint64_t number{0};
    double at{0};
};

/// First request of a line that is still in time, or null.
const std::pair<const std::uint64_t, waiting_request>* first_in_time(const team_line& line,
                                                                     common::time_point now) {
    const auto it = std::find_if(line.waiting.begin(), line.waiting.end(),
                                 [&](const auto& one) { return one.second.deadline > now; });
    return it == line.waiting.end() ? nullptr : &*it;
}

std::optional<turn> next_turn(const class_lines& lines, common::time_point now) {
    std::optional<turn> best;
    for (const auto& [team, line] : lines) {
        const auto* first = first_in_time(line, now);
        if (first == nullptr) {
            continue;
        }
        const bool is_earlier =
            !best || line.next_turn < best->at || (line.next_turn == best->at && first->first < best->number);
        if (is_earlier) {
            best = turn{team, first->first, line.next_turn};
        }
    }
    return best;
}

queue_place place_of(catalog::work_class work, const turn& source) {
    return {work, std::string(source.team), source.number};
}

} // namespace

std::optional<queue_place> enter_queue(fair_queue& queue, catalog::work_class work, std::string_view team,
                                       common::time_point deadline) {
    if (queue.length >= queue.limits.length || waiting_of(queue, team) >= queue.limits.team_length) {
        return std::nullopt;
    }
    auto& line = lines_of(queue, work)[std::string(team)];
    if (line.waiting.empty()) {
        // A team that did not wait saves up no turns.
        line.next_turn = std::max(line.next_turn, turn_of(queue, work));
    }
    const auto number = queue.next_number++;
    line.waiting[number] = {deadline};
    ++queue.length;
    return queue_place{work, std::string(team), number};
}

std::optional<queue_place> next_in_queue(const fair_queue& queue, common::time_point now) {
    const auto urgent = next_turn(queue.urgent, now);
    const auto deferrable = next_turn(queue.deferrable, now);
    const bool deferrable_is_due = queue.urgent_grants_in_row + 1 >= queue.limits.deferrable_share;
    if (deferrable && (!urgent || deferrable_is_due)) {
        return place_of(catalog::work_class::deferrable, *deferrable);
    }
    return urgent ? std::optional(place_of(catalog::work_class::interactive, *urgent)) : std::nullopt;
}

void grant_place(fair_queue& queue, const queue_place& place) {
    auto& lines = lines_of(queue, place.work);
    const auto it = lines.find(place.team);
    if (it != lines.end()) {
        turn_of(queue, place.work) = it->second.next_turn;
        it->second.next_turn += 1;
    }
    const bool is_deferrable = place.work == catalog::work_class::deferrable;
    queue.urgent_grants_in_row = is_deferrable ? 0 : queue.urgent_grants_in_row + 1;
    leave_queue(queue, place);
}

void leave_queue(fair_queue& queue, const queue_place& place) {
    auto& lines = lines_of(queue, place.work);
    const auto it = lines.find(place.team);
    if (it == lines.end()) {
        return;
    }
    queue.length -= it->second.waiting.erase(place.number);
    // A team's turn is forgotten once the others have caught up with it.
    std::erase_if(lines, [&](const auto& one) {
        return one.second.waiting.empty() && one.second.next_turn <= turn_of(queue, place.work);
    });
}

} // namespace lycheegap::execution
