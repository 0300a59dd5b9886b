#include "remaining_work.h"

#include <algorithm>
#include <cmath>
#include <numeric>

namespace lycheegap::traffic {

namespace {

// The pace of a shared machine changes within a fraction of a second; this is the time constant with which a
// reported one returns to the usual.
constexpr double pace_age_s = 0.4;
constexpr double min_pace = 0.25;
constexpr double max_pace = 8;
// An endpoint's own speed changes more rarely.
constexpr double speed_age_s = 6;
constexpr double speed_weight = 0.25;
constexpr double max_speed_log = 1.6;
// Time constant with which the load of an endpoint returns to the mean of its group after a report.
constexpr double external_age_s = 0.7;
constexpr double group_smoothing_s = 0.4;
constexpr double min_group_weight = 0.02;
// One full endpoint does not tell that its group is full.
constexpr double max_group_weight = 0.25;
constexpr double run_weight = 0.02;
// The shortest time of new connections counts as the round trip; it rises slowly, in case the path changes.
constexpr double round_trip_weight = 0.05;
// Fraction of a request's deviation below which its remaining work is not assumed to be.
constexpr double min_remaining_deviation = 0.5;
constexpr double min_remaining_run = 0.1;
// Share of a request's work in the wait that a busy but not full endpoint is expected to cause.
constexpr double partial_wait = 0.25;
// A report older than this does not tell whether a slot was free.
constexpr common::milliseconds slot_report_validity{1000};

double aged(double value, double usual, common::time_point since, common::time_point now, double age_s) {
    const double age = common::seconds_between(since, now) / age_s;
    // Beyond four time constants the rest is below two percent.
    return age > 4 ? usual : usual + (value - usual) * std::exp(-std::max(0.0, age));
}

double pace_now(const endpoint_work& it, common::time_point now) {
    return aged(it.reported_pace, 1, it.pace_at, now, pace_age_s);
}

bool shows_free_slot(const load_report& report, double slots) {
    return report.waiting == 0 && report.running < slots;
}

} // namespace

std::uint64_t begin_work(endpoint_state& endpoint, common::time_point expected_start,
                         const expected_work& work) {
    auto& it = endpoint.work;
    it.own.push_back({++it.last_id, expected_start, mean_ms(work), work.deviation_ms});
    return it.last_id;
}

void end_work(endpoint_state& endpoint, std::uint64_t id) {
    std::erase_if(endpoint.work.own, [&](const own_request& it) { return it.id == id; });
}

void note_reported_work(endpoint_state& endpoint, const load_report& report, common::time_point now) {
    auto& it = endpoint.work;
    it.reported_slots = report.slots;
    if (report.pace) {
        it.reported_pace = std::clamp(*report.pace, min_pace, max_pace);
        it.pace_at = now;
    }
    if (!endpoint.group) {
        return;
    }
    auto& group = *endpoint.group;
    const double external =
        std::max(0, report.running + report.waiting - std::max(0, endpoint.in_flight - 1));
    const double utilization = std::min(1.0, (report.running + report.waiting) / slots_of(endpoint));
    const double age = std::max(0.0, common::seconds_between(group.reported_at, now));
    const double weight =
        std::clamp(1 - std::exp(-age / group_smoothing_s), min_group_weight, max_group_weight);
    group.external += (external - group.external) * weight;
    group.utilization += (utilization - group.utilization) * weight;
    group.reported_at = now;
}

void note_round_trip(endpoint_state& endpoint, double ms) {
    if (!endpoint.group) {
        return;
    }
    auto& known = endpoint.group->round_trip_ms;
    known = known < 0 || ms < known ? ms : known + (ms - known) * round_trip_weight;
}

double round_trip_ms(const endpoint_state& endpoint) {
    return endpoint.group ? std::max(0.0, endpoint.group->round_trip_ms) : 0;
}

std::optional<double> measured_run_ms(const endpoint_state& endpoint, const measured_answer& answer) {
    const double slots = slots_of(endpoint);
    const bool known_before = answer.report_before_at + slot_report_validity > answer.sent_at;
    if (answer.expected_to_wait || !shows_free_slot(answer.report, slots) ||
        (known_before && !shows_free_slot(answer.report_before, slots))) {
        return std::nullopt;
    }
    const double run = common::seconds_between(answer.sent_at, answer.answered_at) * 1000 -
                       answer.connect_ms - round_trip_ms(endpoint);
    if (run <= 0) {
        return std::nullopt;
    }
    // The reported pace held at the end; over a long run it changed several times.
    const double pace_ms = pace_age_s * 1000;
    const double covered = pace_ms / run * (1 - std::exp(-run / pace_ms));
    return run / (1 + (pace_now(endpoint.work, answer.answered_at) - 1) * covered);
}

void note_run(endpoint_state& endpoint, double run_ms, double expected_ms, common::time_point now) {
    if (run_ms <= 0 || expected_ms <= 0) {
        return;
    }
    auto& it = endpoint.work;
    const double known = aged(it.speed_log, 0, it.speed_at, now, speed_age_s);
    const double measured = std::clamp(std::log(run_ms / expected_ms), -max_speed_log, max_speed_log);
    it.speed_log = known + (measured - known) * speed_weight;
    it.speed_at = now;
    if (endpoint.group) {
        auto& mean = endpoint.group->run_ms;
        mean = mean <= 0 ? run_ms : mean + (run_ms - mean) * run_weight;
    }
}

double pace_of(const endpoint_state& endpoint, common::time_point now) {
    const auto& it = endpoint.work;
    const double speed_log = aged(it.speed_log, 0, it.speed_at, now, speed_age_s);
    const double speed = speed_log == 0 ? 1 : std::exp(speed_log);
    return std::clamp(speed * pace_now(it, now), min_pace, max_pace);
}

double slots_of(const endpoint_state& endpoint) {
    const int reported = endpoint.work.reported_slots;
    return std::max(1, reported > 0 ? reported : endpoint.entry.slots);
}

double external_requests(const endpoint_state& endpoint, common::time_point now) {
    const double usual = endpoint.group ? endpoint.group->external : 0;
    if (!endpoint.external) {
        return usual;
    }
    return aged(endpoint.external->requests, usual, endpoint.external->at, now, external_age_s);
}

double own_remaining_ms(const endpoint_state& endpoint, common::time_point now) {
    const auto& own = endpoint.work.own;
    return std::accumulate(own.begin(), own.end(), 0.0, [&](double sum, const own_request& it) {
        const double elapsed = std::max(0.0, common::seconds_between(it.expected_start, now) * 1000);
        const double least = it.run_ms * min_remaining_run + it.deviation_ms * min_remaining_deviation;
        return sum + std::max(it.run_ms - elapsed, least);
    });
}

double expected_wait_ms(const endpoint_state& endpoint, double usual_run_ms, common::time_point now) {
    const double slots = slots_of(endpoint);
    const double external = external_requests(endpoint, now);
    const double requests = static_cast<double>(endpoint.work.own.size()) + external;
    const double measured_run = endpoint.group ? endpoint.group->run_ms : 0;
    const double run = measured_run > 0 ? measured_run : usual_run_ms;
    const double busy = std::min(1.0, requests / slots);
    double wait = partial_wait * run / slots * busy * busy * busy;
    const double queued = requests + 1 - slots;
    if (queued > 0) {
        // Of a running request half of the work is left, of a waiting one all. A slot becomes free while the
        // other ones still have work.
        const double waiting = std::max(0.0, requests - slots);
        const double left_of_each = run * ((requests - waiting) / 2 + waiting) / requests;
        const double remaining = own_remaining_ms(endpoint, now) + external * left_of_each;
        const double until_free = (remaining - (slots - 1) * run / 2) / slots;
        wait += std::min(1.0, queued) * std::max(until_free, queued * run / slots / 2);
    }
    return wait;
}

} // namespace lycheegap::traffic
