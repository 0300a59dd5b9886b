#include "graceful_stop.h"

namespace lycheegap::traffic {

namespace {

// Fractions of the whole time. Callers first get time to learn that this host is not ready and to connect
// elsewhere; the rest is for requests in flight.
constexpr double idle_close_fraction = 0.25;
constexpr double intake_fraction = 0.35;
constexpr double drain_fraction = 0.9;
// The rest is for the end of the process.
constexpr double flush_fraction = 0.955;
// Time that an answer may take, in multiples of the target latency: an object that the endpoint has not
// cached takes twice the target, and the request may wait for a slot before. A cut request that is not
// idempotent cannot be repeated by its caller, so it needs more time.
constexpr int idempotent_latency_factor = 3;
constexpr int non_idempotent_latency_factor = 6;
// Time for the last responses to be written.
constexpr common::milliseconds settle_time{100};

common::milliseconds fraction_of(common::milliseconds length, double part) {
    return common::milliseconds{static_cast<std::int64_t>(static_cast<double>(length.count()) * part)};
}

} // namespace

stop_plan plan_stop(common::time_point now, common::milliseconds length) {
    return {.idle_close_at = now + fraction_of(length, idle_close_fraction),
            .intake_end = now + fraction_of(length, intake_fraction),
            .drain_end = now + fraction_of(length, drain_fraction),
            .flush_end = now + fraction_of(length, flush_fraction)};
}

bool may_take(const stop_plan& plan, const stop_candidate& request, common::time_point now) {
    if (request.response_deadline <= plan.drain_end) {
        return true;
    }
    const int factor = request.idempotent ? idempotent_latency_factor : non_idempotent_latency_factor;
    return now + request.target_latency * factor <= plan.drain_end;
}

void note_in_flight(drain_progress& it, int in_flight, common::time_point now) {
    if (in_flight > 0) {
        it.idle_since.reset();
    } else if (!it.idle_since) {
        it.idle_since = now;
    }
}

bool may_end(const stop_plan& plan, const drain_progress& it, common::time_point now) {
    return now >= plan.flush_end || (it.idle_since && now >= *it.idle_since + settle_time);
}

} // namespace lycheegap::traffic
