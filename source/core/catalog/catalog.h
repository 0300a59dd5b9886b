#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace lycheegap::catalog {

/// How work on a route may be repeated and how long it may wait.
enum class work_class : std::uint8_t {
    /// Idempotent: retried on another endpoint.
    interactive,
    /// Non-idempotent: run at most once.
    once,
    /// Idempotent and patient: may wait to its deadline.
    deferrable,
};

/// One rule of a template: which requests go to which service.
struct route {
    /// HTTP method, or "*" for any.
    std::string method;
    std::string path_prefix;
    std::string service;
    work_class work{work_class::interactive};
    /// Served without a key, to anyone.
    bool open{false};
};

/// One kind of team. Time limits are in ms and become deadlines when a request arrives.
struct team_template {
    std::string name;
    std::vector<route> routes;
    int request_timeout_ms{0};
    int queue_timeout_ms{0};
    int attempt_limit{1};
    int loan_percent{0};
    /// Revision of the last edit of this record.
    std::uint64_t changed{0};
};

/// One team's parameters. Rate is in requests a second over all hosts together, burst in requests.
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

/// One worker of a service.
struct endpoint {
    std::string name;
    /// IP number and port.
    std::string address;
    std::string region;
    std::string failure_domain;
    int slots{1};
};

struct service {
    std::string name;
    std::vector<endpoint> endpoints;
    /// Revision of the last edit of this record.
    std::uint64_t changed{0};
};

enum class record_kind : std::uint8_t { team_template, team, service };

/// A record that was withdrawn at `revision`.
struct tombstone {
    record_kind kind{record_kind::team};
    std::string name;
    std::uint64_t revision{0};
};

/// The operators' whole configuration at one revision.
struct configuration {
    std::uint64_t revision{0};
    std::map<std::string, team_template, std::less<>> templates;
    std::map<std::string, team, std::less<>> teams;
    std::map<std::string, service, std::less<>> services;
    /// Digests of the keys withdrawn last, oldest first; they cannot be issued again.
    std::vector<std::string> withdrawn_digests;
    /// Records withdrawn last, oldest first.
    std::vector<tombstone> tombstones;
    /// Name of the team that each key digest belongs to; derived from `teams`.
    std::map<std::string, std::string, std::less<>> team_by_digest;
};

/// A route and the template that holds it; views into the configuration.
struct route_match {
    const team_template* source{nullptr};
    const route* rule{nullptr};
};

/// Derives `team_by_digest`.
void index_keys(configuration& target);

/// Team whose key has this digest, or null.
const team* find_team(const configuration& source, std::string_view digest);

/// Longest matching route of the team's template that leads to a service the team may reach.
std::optional<route_match> match_route(const configuration& source, const team& caller,
                                       std::string_view method, std::string_view path);

/// Longest matching open route of any template.
std::optional<route_match> match_open_route(const configuration& source, std::string_view method,
                                            std::string_view path);

/// Checks names, limits and references; the reason names the record and the field.
bool is_valid(const configuration& source);

} // namespace lycheegap::catalog
