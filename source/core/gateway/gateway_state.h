#pragma once

#include <atomic>
#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "core/common/metrics.h"
#include "core/common/ranked_mutex.h"
#include "core/traffic/call_memory.h"
#include "core/traffic/configuration.h"
#include "core/traffic/directory.h"
#include "core/traffic/endpoint_set.h"
#include "core/traffic/fleet_view.h"
#include "core/traffic/graceful_stop.h"
#include "core/traffic/idle_limit.h"
#include "core/traffic/load_sharing.h"
#include "core/traffic/placement.h"
#include "core/traffic/rate_home.h"
#include "core/traffic/rate_part.h"
#include "core/traffic/region_routing.h"
#include "core/traffic/retry_share.h"
#include "endpoint_exchange.h"
#include "net.h"
#include "state_mirror.h"

namespace lycheegap::gateway {

/// Names of the headers that callers, hosts and endpoints exchange.
struct header_names {
    std::string request_id;
    /// Time in ms that the sender waits for the response.
    std::string deadline;
    /// Name of the cookie whose value selects endpoints by affinity.
    std::string affinity_cookie;
    /// Name of the caller's team; sent to the endpoint.
    std::string team;
    /// Id of the endpoint that the request is meant for; sent to the endpoint.
    std::string target;
    /// Load of an endpoint, in its responses: running and waiting requests, slots, and the time that work
    /// takes in percent of the usual, separated by commas.
    std::string load;
    /// Present in an endpoint's response when it did not run the request.
    std::string not_run;
    /// Present in all responses of an endpoint that is leaving.
    std::string leaving;
    /// Requests per second that an endpoint takes from all hosts together, a decimal number in its responses;
    /// empty if endpoints name no limits.
    std::string limit;
};

/// Identity, limits and header names of this host.
struct gateway_options {
    std::string host;
    std::string region;
    /// Failure domain.
    std::string domain;
    /// "ip:port" on which callers connect; with port 0, `start_gateway` fills in the port that was assigned.
    std::string request_address;
    header_names headers;
    traffic::rate_bounds rates;
    traffic::retry_limit retries;
    /// Requests of one second that a cold endpoint may get: its cold rate times the factor, plus the slack.
    double cold_overage{1};
    double cold_slack{0};
    traffic::placement_rule placement{traffic::placement_rule::automatic};
    /// Fraction of a region's requests that may change the region in which they run within two seconds; 0
    /// divides no service over the regions.
    double region_shift{0};
    common::milliseconds stop_time{6000};
    int workers{2};
    /// Bytes that all requests and responses together may take, from the first byte read until the response
    /// is written; small ones may take an eighth more.
    std::int64_t call_memory_bytes{64LL << 20LL};
    /// Time in which the whole body of a request must arrive.
    common::milliseconds body_time{30000};
    /// Time in which a caller must read a response.
    common::milliseconds write_time{10000};
    /// Limit of open caller connections; further ones are not accepted. Above half of it responses close
    /// their connection; above three quarters the longest idle connections are closed.
    int max_caller_connections{1024};
    /// Log lines about requests a second; further ones are dropped and counted.
    double log_lines_per_second{200};
};

/// Smooth weighted round robin over the services of one route: the current weight of each part.
using round_robin_weights = std::vector<double>;

/// The configuration in force. Readers hold a reference; a newer version replaces the pointer.
struct routing_table {
    common::ranked_mutex mutex{common::lock_rank::routing_table};
    std::shared_ptr<const traffic::configuration> config;
    /// By name of the route.
    std::map<std::string, round_robin_weights, std::less<>> current_weights;
};

using traffic::fleet_view;

/// The hosts of the fleet. Readers hold a reference; each change replaces the pointer.
struct fleet_table {
    common::ranked_mutex mutex{common::lock_rank::fleet_table};
    std::shared_ptr<const fleet_view> view{std::make_shared<fleet_view>()};
    /// Hosts to be removed, by name, unless they register again before.
    std::map<std::string, common::time_point, std::less<>> removals_due;
};

/// Rate limits of the teams: this host's own tokens, and those that it lends as a home. Times of tokens are
/// on the boot clock.
struct rate_table {
    common::ranked_mutex mutex{common::lock_rank::rate_table};
    /// This host's right to use a part of the limits without asking the homes.
    traffic::own_part part;
    /// By name of the team.
    std::map<std::string, traffic::team_tokens, std::less<>> teams;
    /// By name of the team, those that this host lends tokens of, or did.
    std::map<std::string, traffic::home_bucket, std::less<>> homes;
    /// Members and configuration of the last update by `update_rate_rights`.
    std::shared_ptr<const fleet_view> home_teams_fleet;
    std::shared_ptr<const traffic::configuration> home_teams_config;
    /// By host name: a home that did not respond is not asked again until then.
    std::map<std::string, common::time_point, std::less<>> unresponsive_until;
    /// Log lines about requests of the last second.
    traffic::sliding_window log_lines;
};

/// Retry budgets by name of the service.
struct retry_table {
    common::ranked_mutex mutex{common::lock_rank::retry_table};
    std::map<std::string, traffic::retry_share, std::less<>> services;
};

/// The endpoints that this host knows, and what requests cost at them.
struct endpoint_table {
    common::ranked_mutex mutex{common::lock_rank::endpoint_table};
    traffic::endpoint_set set;
    traffic::work_costs costs;
};

/// Load reports that this host passes on to other hosts.
struct load_table {
    common::ranked_mutex mutex{common::lock_rank::load_table};
    traffic::load_log log;
    /// By host name: reports up to then were sent to it.
    std::map<std::string, common::time_point, std::less<>> sent_until;
};

/// Division of this host's requests over the regions.
struct region_table {
    common::ranked_mutex mutex{common::lock_rank::region_table};
    /// By name of the service, those that are divided.
    std::map<std::string, traffic::region_routing, std::less<>> services;
    traffic::fallback_budget fallbacks;
    /// When the splits are decided next.
    common::time_point next_decision;
};

/// Pool of idle connections, by endpoint.
struct connection_table {
    common::ranked_mutex mutex{common::lock_rank::connection_pool};
    /// The one that was used last stands last.
    std::map<std::string, std::vector<connection_ptr>, std::less<>> idle;
    /// How long endpoints keep idle connections, by service.
    std::map<std::string, traffic::idle_limit, std::less<>> limits;
};

/// The graceful stop, from its begin.
struct stop_table {
    common::ranked_mutex mutex{common::lock_rank::stop_table};
    std::optional<traffic::stop_plan> plan;
};

struct caller_connection;
struct fleet_link;

/// Open connections of callers; expired entries are removed by `prune_caller_connections`.
struct caller_table {
    common::ranked_mutex mutex{common::lock_rank::caller_table};
    std::vector<std::weak_ptr<caller_connection>> open;
};

/// All shared state of one gateway host. Locks are taken in the order of their ranks; none is held during
/// I/O.
struct gateway_state {
    explicit gateway_state(gateway_options chosen)
        : options(std::move(chosen)),
          call_memory(options.call_memory_bytes,
                      traffic::limits_around(options.call_memory_bytes).hard_limit) {}

    gateway_options options;
    common::time_point started_at{common::monotonic::now()};
    /// Requests in flight: from their first byte until the response is written or the connection is closed.
    /// Outlives `io`, whose handlers may hold requests.
    std::atomic<int> requests_in_flight{0};
    /// For requests and responses. Outlives `io` too.
    memory_budget call_memory;
    net::io_context io;
    routing_table routing;
    mirror_table mirror;
    fleet_table fleet;
    rate_table rates;
    retry_table retries;
    load_table loads;
    region_table regions;
    endpoint_table endpoints;
    connection_table connections;
    caller_table callers;
    stop_table stop;
    common::metrics_table metrics;
    /// Connections to the other hosts; null until they are open.
    std::atomic<fleet_link*> link{nullptr};
    /// A graceful stop has begun: this host is not ready for callers any more.
    std::atomic<bool> stopping{false};
    /// Until when this host's entry is surely in the store, in ticks of the boot clock: the end of its lease,
    /// counted from the request for the last renewal.
    std::atomic<common::boot_clock::rep> registered_until{0};
    /// Open connections of callers.
    std::atomic<int> open_callers{0};
    /// A notice of new limits of endpoints is about to be sent to other hosts.
    std::atomic<bool> limit_notice_pending{false};
};

/// The configuration in force; null until there is one.
std::shared_ptr<const traffic::configuration> current_configuration(gateway_state& state);
/// The current view of the fleet; never null.
std::shared_ptr<const fleet_view> current_fleet(gateway_state& state);

/// The fleet view with the time until which it is valid, for decisions about this host's share of fleet-wide
/// limits. The result points to `fleet`.
traffic::membership_knowledge membership_knowledge_of(gateway_state& state, const fleet_view& fleet);

/// When the store last confirmed the mirrored state.
common::boot_clock::time_point mirror_confirmed_at(gateway_state& state);

/// Until when this host may rely on its view of the fleet for shares of fleet-wide limits: for
/// `membership_validity` after the store confirmed it, and while the store confirms nothing to any host.
common::boot_clock::time_point membership_valid_until(gateway_state& state);

/// Until when this host may lend tokens as a home: while its view of the fleet is valid and its own entry is
/// surely in the store, and while the store confirms nothing to any host.
common::boot_clock::time_point home_valid_until(gateway_state& state);

/// Records that another host's mirror was outdated too when it was asked.
void note_outage_witness(gateway_state& state, std::string_view host,
                         common::boot_clock::time_point asked_at);

/// Whether this host can serve callers: it has a configuration and at least one endpoint, and no stop has
/// begun.
bool is_ready(gateway_state& state);

/// Puts a configuration in force; false when its version is not newer than the current one.
bool apply_configuration(gateway_state& state, const std::shared_ptr<const traffic::configuration>& newer);

/// Adds or updates an endpoint.
void apply_endpoint(gateway_state& state, traffic::endpoint_entry entry);
/// Removes an endpoint now or, with `due`, at that time unless it registers again before.
void drop_endpoint(gateway_state& state, std::string_view id, std::optional<common::time_point> due);
/// Marks a failure domain as vacated, so that its endpoints get no work, or as in use again.
void set_domain_vacated(gateway_state& state, std::string_view domain, bool vacated);
/// Marks a vacated failure domain as in use again at `due`, unless it is marked as vacated anew before.
void end_vacating_later(gateway_state& state, std::string_view domain, common::time_point due);
/// Marks the vacated domains as in use again that are due.
void expire_vacated_domains(gateway_state& state);
/// Applies changes of the fleet's hosts. Hosts that left are removed at `removal_not_before` unless they
/// register again before, and are kept as former members for a while.
void apply_members(gateway_state& state, std::vector<traffic::member_change> changes,
                   common::time_point removal_not_before);
/// Adds or updates one host of the fleet.
void apply_member(gateway_state& state, traffic::fleet_member member);
/// Removes the hosts whose removal is due, and former members that left long ago.
void expire_members(gateway_state& state);

/// Deadlines of the graceful stop; empty before one has begun.
std::optional<traffic::stop_plan> current_stop_plan(gateway_state& state);

/// Whether a line about a request may be logged now; counts dropped lines.
bool may_log(gateway_state& state);

} // namespace lycheegap::gateway
