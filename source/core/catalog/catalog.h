#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace lycheegap::catalog {

/// Whether requests of a route may be run more than once, and how they are queued.
enum class work_class : std::uint8_t {
    /// Idempotent: may be retried on another endpoint.
    interactive,
    /// Non-idempotent: run at most once.
    once,
    /// Idempotent and not urgent: may be queued until its deadline.
    deferrable,
};

/// One rule of a template: sends requests with a method and path prefix to a service.
struct route {
    /// HTTP method, or "*" for any.
    std::string method;
    std::string path_prefix;
    std::string service;
    work_class work{work_class::interactive};
    /// Accessible without a key.
    bool open{false};
};

/// Settings shared by several teams. The request timeout is counted from the arrival of a request, the queue
/// timeout from the start of each wait for an endpoint.
struct team_template {
    std::string name;
    std::vector<route> routes;
    int request_timeout_ms{0};
    int queue_timeout_ms{0};
    /// Most attempts at one request, the first included.
    int attempt_limit{1};
    /// Part of the burst that one host may hold ahead of need, in percent.
    int loan_percent{0};
    /// Revision of the last edit of this record.
    std::uint64_t changed{0};
};

/// One team's settings. Rate is in requests per second over all hosts together, burst in requests.
struct team {
    std::string name;
    std::string template_name;
    std::vector<std::string> key_digests;
    double rate{0};
    double burst{0};
    std::vector<std::string> services;
    /// Revision of the last edit of this record.
    std::uint64_t changed{0};
};

/// One server process of a service.
struct endpoint {
    std::string name;
    /// IP address and port.
    std::string address;
    std::string region;
    std::string failure_domain;
    /// Requests that it runs at the same time.
    int slots{1};
};

struct service {
    std::string name;
    std::vector<endpoint> endpoints;
    /// Revision of the last edit of this record.
    std::uint64_t changed{0};
};

enum class record_kind : std::uint8_t { team_template, team, service };

/// Marks a record that was withdrawn at `revision`.
struct tombstone {
    record_kind kind{record_kind::team};
    std::string name;
    std::uint64_t revision{0};
};

/// The operators' configuration at one revision.
struct configuration {
    std::uint64_t revision{0};
    std::map<std::string, team_template, std::less<>> templates;
    std::map<std::string, team, std::less<>> teams;
    std::map<std::string, service, std::less<>> services;
    /// Digests of the most recently withdrawn keys, oldest first; they cannot be issued again.
    std::vector<std::string> withdrawn_digests;
    /// The most recently withdrawn records, oldest first.
    std::vector<tombstone> tombstones;
    /// Name of the team that each key digest belongs to; derived from `teams`.
    std::map<std::string, std::string, std::less<>> team_by_digest;
};

/// A route and its template; both point into the configuration.
struct route_match {
    const team_template* owner{nullptr};
    const route* rule{nullptr};
};

/// Rebuilds `team_by_digest` from `teams`.
void index_keys(configuration& config);

/// Team whose key has this digest, or null.
const team* find_team(const configuration& config, std::string_view digest);

/// The most specific matching route of the team's template among those to services that the team may use: the
/// longest prefix, then a named method before "*". Empty if there is none.
std::optional<route_match> match_route(const configuration& config, const team& caller,
                                       std::string_view method, std::string_view path);

/// The most specific matching open route of all templates, or empty.
std::optional<route_match> match_open_route(const configuration& config, std::string_view method,
                                            std::string_view path);

/// Checks names, limits, references between records, and keys. A key belongs to the team that
/// `team_by_digest` names, which may still be that of an earlier revision. On failure `common::last_reason`
/// names the record and what is wrong.
bool is_valid(const configuration& config);

} // namespace lycheegap::catalog
