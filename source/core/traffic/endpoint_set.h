#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "cold_limit.h"
#include "core/common/clock.h"
#include "endpoint_limit.h"
#include "endpoint_work.h"
#include "sliding_window.h"

namespace lycheegap::traffic {

/// An endpoint's entry in the store, as it registered itself.
struct endpoint_entry {
    std::string id;
    std::string service;
    /// "ip:port". May have belonged to another endpoint before.
    std::string address;
    /// Failure domain that it runs in.
    std::string domain;
    std::string region;
    /// Requests that it serves at the same time; further ones queue.
    int slots{1};
    /// It is shutting down and accepts no new work.
    bool leaving{false};
    /// Start time, Unix ms. The same id with another start time is a different endpoint.
    std::int64_t started_unix_ms{0};
    /// Remaining cold time, counted from the receipt of the entry.
    common::milliseconds cold_remaining{0};
    /// Store revision of the entry; 0 if there is none.
    std::uint64_t revision{0};
};

/// Load that an endpoint reported in an answer.
struct load_report {
    /// Numbers of requests.
    int running{0};
    int waiting{0};
    /// Requests that it serves at the same time; 0 if not stated.
    int slots{0};
    /// Time that work takes on its machine now, relative to the usual time; empty if not stated.
    std::optional<double> pace;
};

/// Requests of other hosts at an endpoint, smoothed over the load reports.
struct external_load {
    double requests{0};
    /// Time of the last report.
    common::time_point at;
};

/// What an endpoint has asked for in its answers to this host. Holds for this start of the endpoint, whatever
/// its entry in the store says.
struct endpoint_wishes {
    /// It is leaving and accepts no new work.
    bool leaving{false};
    /// It wants no requests from this host until then.
    common::time_point resting_until;
};

/// State of an endpoint as seen by this host.
struct endpoint_state {
    endpoint_entry entry;
    /// Hash of the id, for rendezvous hashing.
    std::uint64_t hash{0};
    endpoint_work work;
    /// Measurements over the endpoint's group; null if it is in no set.
    std::shared_ptr<group_load> group;
    cold_state cold;
    /// Requests of this host that the endpoint has not answered yet.
    int in_flight{0};
    /// Empty until the first load report.
    std::optional<external_load> external;
    load_report last_report;
    /// When it arrived; the epoch if there was none.
    common::time_point last_report_at;
    /// While requests are in flight: since when none of them has been answered.
    std::optional<common::time_point> silent_since;
    /// Consecutive failed attempts since the last successful one.
    int consecutive_failures{0};
    /// Until then, other endpoints are preferred.
    common::time_point avoided_until;
    /// Requests that this host sent while the endpoint was cold.
    sliding_window cold_requests;
    /// What the endpoint itself has asked for.
    endpoint_wishes wishes;
    /// Limit on the requests of all hosts that the endpoint names.
    endpoint_limit limit;
    /// Set if its entry disappeared just after a store outage: the endpoint is removed at this time unless it
    /// registers again before.
    std::optional<common::time_point> removal_due;
};

using endpoint_ptr = std::shared_ptr<endpoint_state>;

/// State of a removed endpoint, kept in case its id registers again.
struct former_endpoint {
    /// Start time, Unix ms.
    std::int64_t started_unix_ms{0};
    cold_state cold;
    sliding_window cold_requests;
    endpoint_wishes wishes;
    endpoint_limit limit;
    /// When this state is dropped.
    common::time_point forget_at;
};

/// The endpoints of one service in one region.
struct endpoint_group {
    std::string region;
    std::shared_ptr<group_load> load;
    std::vector<endpoint_ptr> endpoints;
};

/// All endpoints known to this host, and the state of their failure domains.
struct endpoint_set {
    std::map<std::string, endpoint_ptr, std::less<>> by_id;
    std::map<std::string, std::vector<endpoint_ptr>, std::less<>> by_service;
    /// By name of the service. A group stays when its last endpoint is removed.
    std::map<std::string, std::vector<endpoint_group>, std::less<>> groups;
    /// Failure domains whose endpoints must get no new work.
    std::set<std::string, std::less<>> vacated_domains;
    /// Vacated domains that will be in use again, and when.
    std::map<std::string, common::time_point, std::less<>> vacating_ends;
    /// Failure domains all of whose endpoints count as cold, and until when.
    std::map<std::string, common::time_point, std::less<>> cold_domains;
    /// Removed endpoints by id.
    std::map<std::string, former_endpoint, std::less<>> former_endpoints;
    /// Times at which endpoints in use turned cold, by failure domain.
    std::map<std::string, sliding_window, std::less<>> cold_transitions;
};

enum class endpoint_change : std::uint8_t { none, added, updated, replaced };

/// Adds an endpoint or applies its newer entry. An entry with another start time, address or service replaces
/// the endpoint of this id. An endpoint that becomes cold, or stays cold for longer, counts as updated.
endpoint_change put_endpoint(endpoint_set& set, endpoint_entry entry, common::time_point now);

/// Removes an endpoint; returns false if it is not in the set. The count of requests sent to it while it was
/// cold is kept for a while.
bool remove_endpoint(endpoint_set& set, std::string_view id, common::time_point now);

/// Schedules the removal of an endpoint at `due`, unless it registers again before. An earlier schedule
/// stays. Returns false if the endpoint is not in the set.
bool remove_endpoint_later(endpoint_set& set, std::string_view id, common::time_point due);

/// Removes the endpoints whose removal is due and returns their ids. Drops outdated state of former endpoints
/// and cold domains.
std::vector<std::string> expire_endpoints(endpoint_set& set, common::time_point now);

/// Marks a failure domain as vacated, or as back in use. Endpoints of a domain that is back in use count as
/// cold for `cold_time`, even if this host did not know that the domain was vacated.
void set_vacated(endpoint_set& set, std::string_view domain, bool vacated, common::time_point now,
                 common::milliseconds cold_time);

/// Has a vacated domain be in use again at `due`, unless it is marked as vacated anew before.
void end_vacating_later(endpoint_set& set, std::string_view domain, common::time_point due);

/// Removes and returns the domains that are due to be in use again.
std::vector<std::string> take_due_vacating_ends(endpoint_set& set, common::time_point now);

/// Whether the endpoint is cold as far as this host knows.
bool is_cold(const endpoint_state& endpoint, common::time_point now);

/// Whether the endpoint may get new work, regardless of its load: it is not leaving and its domain is not
/// vacated.
bool accepts_work(const endpoint_set& set, const endpoint_state& endpoint);

/// Whether the endpoint has asked for rest that has not ended.
bool is_resting(const endpoint_state& endpoint, common::time_point now);

/// Records that the endpoint said it is leaving; false if that was known.
bool note_leaving(endpoint_state& endpoint);

/// Records that the endpoint wants no requests for `length`, which is limited to `max_rest`. A rest that ends
/// later stays.
void note_rest(endpoint_state& endpoint, common::milliseconds length, common::time_point now);

/// Longest rest that an endpoint is granted.
inline constexpr common::milliseconds max_rest{600'000};

/// Estimated number of requests running and waiting at the endpoint: this host's own, plus those of other
/// hosts by the load reports, which decay exponentially with the age of the last one.
double estimated_load(const endpoint_state& endpoint, common::time_point now);

/// Applies a load report. Call it before `note_ended` for the answered request, which must still be in
/// flight.
void note_report(endpoint_state& endpoint, const load_report& report, common::time_point now);

/// Applies a load report that another host received at `at`, unless a later one is known. Returns whether it
/// was applied.
bool note_shared_load(endpoint_state& endpoint, const load_report& report, common::time_point at);

/// Records that a request was sent.
void note_sent(endpoint_state& endpoint, common::time_point now);

/// Records that a request is no longer in flight; `answered`: the endpoint answered it.
void note_ended(endpoint_state& endpoint, bool answered, common::time_point now);

/// Whether the endpoint has answered nothing since `sent_at`. Call it before `note_ended` for a request sent
/// then.
bool is_silent_since(const endpoint_state& endpoint, common::time_point sent_at);

/// Records a successful attempt: the endpoint is no longer avoided.
void note_success(endpoint_state& endpoint);

/// Records a failed attempt: the endpoint is avoided for a time that doubles with each consecutive failure.
void note_failure(endpoint_state& endpoint, common::time_point now);

} // namespace lycheegap::traffic
