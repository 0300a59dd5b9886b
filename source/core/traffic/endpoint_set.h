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
#include "sliding_window.h"

namespace lycheegap::traffic {

/// What an endpoint says of itself where it registers.
struct endpoint_entry {
    std::string id;
    std::string service;
    /// "ip:port". May have belonged to another endpoint before.
    std::string address;
    std::string domain;
    std::string region;
    int slots{1};
    bool leaving{false};
    /// Unix ms of its start; another value under the same id is another endpoint.
    std::int64_t born{0};
    /// Rest of its cold time at the moment of the entry.
    common::milliseconds cold_for{0};
    /// Revision of the entry in the store, 0 where there is none.
    std::uint64_t revision{0};
};

/// Load that an endpoint reported in an answer.
struct load_report {
    int running{0};
    int waiting{0};
};

/// Requests of other hosts at an endpoint, smoothed over the reports.
struct foreign_load {
    double requests{0};
    common::time_point at;
};

/// One endpoint as this host knows it.
struct endpoint_state {
    endpoint_entry entry;
    cold_belief cold;
    /// Requests of this host at the endpoint.
    int in_flight{0};
    std::optional<foreign_load> others;
    /// Requests are out and none was answered since then.
    std::optional<common::time_point> silent_since;
    /// Failed attempts since the last good answer.
    int failures_in_row{0};
    /// Preferred last until then.
    common::time_point avoided_until;
    /// Requests of this host while it is cold.
    sliding_window cold_sends;
    /// The store removed its entry just after an outage; it goes for good then.
    std::optional<common::time_point> removal_due;
};

using endpoint_ptr = std::shared_ptr<endpoint_state>;

/// What outlasts the entry of an endpoint that is gone.
struct endpoint_memory {
    std::int64_t born{0};
    cold_belief cold;
    sliding_window cold_sends;
    common::time_point forget_at;
};

/// All endpoints by id, and the failure domains that must get no work.
struct endpoint_set {
    std::map<std::string, endpoint_ptr, std::less<>> by_id;
    std::map<std::string, std::vector<endpoint_ptr>, std::less<>> by_service;
    std::set<std::string, std::less<>> vacated_domains;
    /// Domains that were taken back, and until when their endpoints count as cold.
    std::map<std::string, common::time_point, std::less<>> cold_domains;
    std::map<std::string, endpoint_memory, std::less<>> gone;
    /// By domain, when endpoints in use turned cold.
    std::map<std::string, sliding_window, std::less<>> turned_cold;
};

enum class endpoint_change : std::uint8_t { none, added, updated, replaced };

/// Takes a newer entry. An id with another start or address replaces the endpoint. An endpoint that becomes
/// cold, or stays so for longer, counts as updated.
endpoint_change put_endpoint(endpoint_set& set, endpoint_entry entry, common::time_point now);

/// Removes an endpoint; false when it was not there. What was sent to it while it was cold stays in mind.
bool remove_endpoint(endpoint_set& set, std::string_view id, common::time_point now);

/// Removes the endpoint at `due` unless it registers again before; false when it was not there.
bool remove_endpoint_later(endpoint_set& set, std::string_view id, common::time_point due);

/// Removes what is due and returns the ids.
std::vector<std::string> expire_endpoints(endpoint_set& set, common::time_point now);

/// Marks a domain as vacated, or takes it back; endpoints taken back count as cold for `cold_time`, also when
/// this host has not heard that they were to get no work.
void set_vacated(endpoint_set& set, std::string_view domain, bool vacated, common::time_point now,
                 common::milliseconds cold_time);

/// Whether the endpoint is cold, as far as this host knows.
bool is_cold(const endpoint_state& it, common::time_point now);

/// Whether new work may go to the endpoint, apart from its load.
bool accepts_work(const endpoint_set& set, const endpoint_state& it);

/// Requests that the endpoint has, running and waiting, as far as this host can tell: its own, and what the
/// last report showed of others, which fades with its age.
double estimated_load(const endpoint_state& it, common::time_point now);

/// Takes in a report that came with the answer to a request that still counts as in flight.
void note_report(endpoint_state& it, const load_report& report, common::time_point now);

/// Notes a request on its way, and one that ended in any way.
void note_sent(endpoint_state& it, common::time_point now);
void note_ended(endpoint_state& it, bool heard, common::time_point now);

/// Notes how an attempt ended.
void note_answer(endpoint_state& it);
void note_failure(endpoint_state& it, common::time_point now);

} // namespace lycheegap::traffic
