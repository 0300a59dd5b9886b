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
#include "core/traffic/configuration.h"
#include "core/traffic/directory.h"
#include "core/traffic/endpoint_set.h"
#include "core/traffic/fleet_view.h"
#include "core/traffic/rate_home.h"
#include "core/traffic/retry_share.h"
#include "endpoint_exchange.h"
#include "net.h"
#include "state_mirror.h"

namespace lycheegap::gateway {

/// Names of the headers that callers, hosts and endpoints exchange.
struct header_names {
    std::string request_id;
    /// ms that the sender waits.
    std::string deadline;
    /// Cookie with the key of the object that a request concerns.
    std::string affinity_cookie;
    /// Name of the team, for the endpoint.
    std::string team;
    /// Id of the endpoint that is meant.
    std::string target;
    /// Running, waiting and slots of an endpoint.
    std::string load;
    /// The endpoint did not run the request.
    std::string not_run;
};

/// What the host is and which bounds hold for it.
struct gateway_options {
    std::string host;
    std::string region;
    std::string domain;
    /// "ip:port" for callers.
    std::string request_address;
    header_names headers;
    traffic::rate_bounds rates;
    traffic::retry_limit retries;
    /// Factor on, and requests beside, the rate of a cold endpoint.
    double cold_overage{1};
    double cold_slack{0};
    common::milliseconds stop_time{6000};
    int workers{2};
    /// Memory that answers may take while they are read.
    std::int64_t answer_bytes{64LL << 20LL};
    /// Connections of callers that may be open; beyond half of it answers ask callers to close theirs.
    int caller_limit{1024};
    /// Lines a second that requests may log.
    double log_rate{200};
};

/// Turns of one split route: each part's credit, in parts of its weight.
using split_credits = std::vector<double>;

/// The configuration in force. Readers keep the pointer; a newer version replaces it.
struct routing_table {
    common::ranked_mutex mutex{common::lock_rank::routing_table};
    std::shared_ptr<const traffic::configuration> config;
    std::map<std::string, split_credits, std::less<>> credits;
};

using traffic::fleet_view;

struct fleet_table {
    common::ranked_mutex mutex{common::lock_rank::fleet_table};
    std::shared_ptr<const fleet_view> view{std::make_shared<fleet_view>()};
};

struct rate_table {
    common::ranked_mutex mutex{common::lock_rank::rate_table};
    std::map<std::string, traffic::team_tokens, std::less<>> teams;
    /// Teams whose tokens this host lends, or lent.
    std::map<std::string, traffic::home_bucket, std::less<>> homes;
    /// Members and configuration for which `follow_homes` noted the homes last.
    std::shared_ptr<const fleet_view> noted_fleet;
    std::shared_ptr<const traffic::configuration> noted_config;
    /// Homes that did not answer are not asked until then.
    std::map<std::string, common::time_point, std::less<>> silent_until;
    /// Log lines of the last second.
    traffic::sliding_window lines;
};

struct retry_table {
    common::ranked_mutex mutex{common::lock_rank::retry_table};
    std::map<std::string, traffic::retry_share, std::less<>> services;
};

struct endpoint_table {
    common::ranked_mutex mutex{common::lock_rank::endpoint_table};
    traffic::endpoint_set set;
};

/// Idle connections by endpoint.
struct connection_table {
    common::ranked_mutex mutex{common::lock_rank::connection_pool};
    std::map<std::string, std::vector<connection_ptr>, std::less<>> idle;
};

struct caller_connection;
struct fleet_link;

struct caller_table {
    common::ranked_mutex mutex{common::lock_rank::caller_table};
    std::vector<std::weak_ptr<caller_connection>> open;
};

/// Everything of one entry host. Locks are taken in the order of their ranks; none is held over I/O.
struct gateway_state {
    explicit gateway_state(gateway_options chosen)
        : options(std::move(chosen)), answers(options.answer_bytes) {}

    gateway_options options;
    common::time_point started_at{common::monotonic::now()};
    net::io_context io;
    routing_table routing;
    mirror_table mirror;
    fleet_table fleet;
    rate_table rates;
    retry_table retries;
    endpoint_table endpoints;
    connection_table connections;
    caller_table callers;
    answer_memory answers;
    common::metrics_table metrics;
    /// Streams to the other hosts, once they are open.
    std::atomic<fleet_link*> link{nullptr};
    /// A planned stop has begun: no new work is asked for.
    std::atomic<bool> stopping{false};
    /// Open connections of callers.
    std::atomic<int> open_callers{0};
    /// Requests that were read and are not answered.
    std::atomic<int> calls{0};
};

std::shared_ptr<const traffic::configuration> current_configuration(gateway_state& state);
std::shared_ptr<const fleet_view> current_fleet(gateway_state& state);

/// What this host may go by when it uses a share of a limit of the whole fleet. Refers to `fleet`.
traffic::fleet_knowledge fleet_knowledge_of(gateway_state& state, const fleet_view& fleet);

/// Moment at which the store confirmed last what this host knows of it.
common::boot_clock::time_point confirmed_at(gateway_state& state);

/// Whether callers may be sent here: configuration and endpoints are known and no stop has begun.
bool is_ready(gateway_state& state);

/// Puts a configuration in force; false when it is not newer.
bool apply_configuration(gateway_state& state, const std::shared_ptr<const traffic::configuration>& newer);

void apply_endpoint(gateway_state& state, traffic::endpoint_entry entry);
/// Takes an endpoint out now, or at `due`.
void drop_endpoint(gateway_state& state, std::string_view id, std::optional<common::time_point> due);
void apply_vacated(gateway_state& state, std::string_view domain, bool vacated);
void apply_member(gateway_state& state, traffic::fleet_member member);
void drop_member(gateway_state& state, std::string_view name);
/// Drops what is remembered of hosts that left long ago.
void forget_former_members(gateway_state& state);

/// Whether a line about a request may be logged now; counts those that may not.
bool may_log(gateway_state& state);

} // namespace lycheegap::gateway
