#pragma once

#include <cstdint>
#include <optional>

#include "endpoint_set.h"
#include "work_cost.h"

namespace lycheegap::traffic {

/// An expected wait up to this may be none.
inline constexpr common::milliseconds negligible_wait{60};

/// Records a request that is sent to the endpoint; returns its id for `end_work`.
std::uint64_t begin_work(endpoint_state& endpoint, common::time_point expected_start,
                         const expected_work& work);

/// Records that a request is no longer at the endpoint.
void end_work(endpoint_state& endpoint, std::uint64_t id);

/// Applies a load report to the endpoint's speed and to the measurements of its group. Call it after
/// `note_report`.
void note_reported_work(endpoint_state& endpoint, const load_report& report, common::time_point now);

/// Records the time in ms that a new connection to the endpoint took.
void note_round_trip(endpoint_state& endpoint, double ms);

/// Round trip time to the endpoint in ms; 0 if it is not known.
double round_trip_ms(const endpoint_state& endpoint);

/// An answer whose time tells about the endpoint's work.
struct measured_answer {
    common::time_point sent_at;
    common::time_point answered_at;
    /// Time in ms in which the connection was opened; 0 if it was open.
    double connect_ms{0};
    /// The request was expected to wait at the endpoint.
    bool expected_to_wait{false};
    /// Load report of the answer, and the one before.
    load_report report;
    load_report report_before;
    common::time_point report_before_at;
};

/// Time in ms for which the endpoint worked on the request, at the usual pace of its machine. Empty unless
/// the endpoint surely had a free slot.
std::optional<double> measured_run_ms(const endpoint_state& endpoint, const measured_answer& answer);

/// Adapts the endpoint's speed to a measured time, and the mean work of its group.
void note_run(endpoint_state& endpoint, double run_ms, double expected_ms, common::time_point now);

/// Time that work takes at the endpoint relative to the usual time.
double pace_of(const endpoint_state& endpoint, common::time_point now);

/// Requests that the endpoint serves at the same time.
double slots_of(const endpoint_state& endpoint);

/// Estimated number of other hosts' requests at the endpoint. Without a recent report, the mean of its group.
double external_requests(const endpoint_state& endpoint, common::time_point now);

/// Work in ms that is likely left of this host's requests at the endpoint.
double own_remaining_ms(const endpoint_state& endpoint, common::time_point now);

/// Expected time in ms until the endpoint begins with a further request. `usual_run_ms` is the work of a
/// request where the group has not measured any.
double expected_wait_ms(const endpoint_state& endpoint, double usual_run_ms, common::time_point now);

} // namespace lycheegap::traffic
