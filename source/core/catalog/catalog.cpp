#include "catalog.h"

#include <algorithm>

#include <fmt/format.h>

#include "core/common/last_reason.h"

namespace lycheegap::catalog {

namespace {

constexpr std::size_t name_limit = 100;
constexpr double rate_limit_per_second = 1e7;
constexpr double burst_limit = 1e7;
constexpr int timeout_limit_ms = 600'000;
constexpr int attempt_limit = 10;
constexpr int slot_limit = 100'000;

bool reject(std::string_view record, std::string_view text) {
    common::fail(common::step::validate, record, text);
    return false;
}

bool is_name(std::string_view name) {
    const auto allowed = [](unsigned char c) {
        return std::isalnum(c) != 0 || c == '-' || c == '_' || c == '.';
    };
    return !name.empty() && name.size() <= name_limit && std::all_of(name.begin(), name.end(), allowed);
}

bool is_between(double value, double least, double most) {
    return value >= least && value <= most;
}

// A prefix ends at a path's segment: "/plots" takes "/plots/7" and not "/plotsheets".
bool has_prefix(std::string_view path, std::string_view prefix) {
    if (!path.starts_with(prefix)) {
        return false;
    }
    return prefix.ends_with('/') || path.size() == prefix.size() || path[prefix.size()] == '/';
}

bool takes(const route& rule, std::string_view method, std::string_view path) {
    return (rule.method == "*" || rule.method == method) && has_prefix(path, rule.path_prefix);
}

bool may_reach(const team& caller, std::string_view service_name) {
    return std::find(caller.services.begin(), caller.services.end(), service_name) != caller.services.end();
}

// Of two prefixes of one length the rule for a certain method goes before the one for any.
bool is_better(const route& candidate, const route& best) {
    if (candidate.path_prefix.size() != best.path_prefix.size()) {
        return candidate.path_prefix.size() > best.path_prefix.size();
    }
    return best.method == "*" && candidate.method != "*";
}

bool is_valid_route(const configuration& source, const team_template& owner, const route& rule) {
    const auto record = fmt::format("template {} route {} {}", owner.name, rule.method, rule.path_prefix);
    if (rule.method.empty()) {
        return reject(record, "method is empty");
    }
    if (!rule.path_prefix.starts_with('/')) {
        return reject(record, "path_prefix does not start with /");
    }
    if (!source.services.contains(rule.service)) {
        return reject(record, fmt::format("service '{}' does not exist", rule.service));
    }
    return true;
}

bool is_valid_template(const configuration& source, const team_template& it) {
    const auto record = fmt::format("template {}", it.name);
    if (!is_name(it.name)) {
        return reject(record, "name is not made of letters, digits, '-', '_' and '.'");
    }
    if (!is_between(it.request_timeout_ms, 1, timeout_limit_ms)) {
        return reject(record, fmt::format("request_timeout is outside 1 to {} ms", timeout_limit_ms));
    }
    if (!is_between(it.queue_timeout_ms, 0, timeout_limit_ms)) {
        return reject(record, fmt::format("queue_timeout is outside 0 to {} ms", timeout_limit_ms));
    }
    if (!is_between(it.attempt_limit, 1, attempt_limit)) {
        return reject(record, fmt::format("attempt_limit is outside 1 to {}", attempt_limit));
    }
    if (!is_between(it.loan_percent, 0, 100)) {
        return reject(record, "loan_percent is outside 0 to 100");
    }
    return std::all_of(it.routes.begin(), it.routes.end(),
                       [&](const route& rule) { return is_valid_route(source, it, rule); });
}

bool has_known_services(const configuration& source, const team& it, std::string_view record) {
    for (const auto& name : it.services) {
        if (!source.services.contains(name)) {
            return reject(record, fmt::format("service '{}' does not exist", name));
        }
    }
    return true;
}

bool has_own_keys(const configuration& source, const team& it, std::string_view record) {
    const auto& withdrawn = source.withdrawn_digests;
    for (const auto& digest : it.key_digests) {
        if (std::find(withdrawn.begin(), withdrawn.end(), digest) != withdrawn.end()) {
            return reject(record, "a key was withdrawn; issue a new one");
        }
        const auto owner = source.team_by_digest.find(digest);
        if (owner != source.team_by_digest.end() && owner->second != it.name) {
            return reject(record, fmt::format("a key belongs to team '{}' already", owner->second));
        }
    }
    return true;
}

bool is_valid_team(const configuration& source, const team& it) {
    const auto record = fmt::format("team {}", it.name);
    if (!is_name(it.name)) {
        return reject(record, "name is not made of letters, digits, '-', '_' and '.'");
    }
    if (!source.templates.contains(it.template_name)) {
        return reject(record, fmt::format("template '{}' does not exist", it.template_name));
    }
    if (!is_between(it.rate, 0, rate_limit_per_second)) {
        return reject(record, fmt::format("rate is outside 0 to {}", rate_limit_per_second));
    }
    if (!is_between(it.burst, 1, burst_limit)) {
        return reject(record, fmt::format("burst is outside 1 to {}", burst_limit));
    }
    return has_known_services(source, it, record) && has_own_keys(source, it, record);
}

bool is_valid_service(const service& it) {
    const auto record = fmt::format("service {}", it.name);
    if (!is_name(it.name)) {
        return reject(record, "name is not made of letters, digits, '-', '_' and '.'");
    }
    for (const auto& worker : it.endpoints) {
        if (!is_name(worker.name) || worker.address.find(':') == std::string::npos) {
            return reject(record, fmt::format("endpoint '{}' lacks a name or an address", worker.name));
        }
        if (!is_between(worker.slots, 1, slot_limit)) {
            return reject(record,
                          fmt::format("endpoint '{}': slots are outside 1 to {}", worker.name, slot_limit));
        }
    }
    return true;
}

} // namespace

void index_keys(configuration& target) {
    target.team_by_digest.clear();
    for (const auto& [name, it] : target.teams) {
        for (const auto& digest : it.key_digests) {
            target.team_by_digest.try_emplace(digest, name);
        }
    }
}

const team* find_team(const configuration& source, std::string_view digest) {
    const auto owner = source.team_by_digest.find(digest);
    if (owner == source.team_by_digest.end()) {
        return nullptr;
    }
    const auto it = source.teams.find(owner->second);
    return it == source.teams.end() ? nullptr : &it->second;
}

std::optional<route_match> match_route(const configuration& source, const team& caller,
                                       std::string_view method, std::string_view path) {
    const auto owner = source.templates.find(caller.template_name);
    if (owner == source.templates.end()) {
        return std::nullopt;
    }
    std::optional<route_match> best;
    for (const auto& rule : owner->second.routes) {
        const bool fits = takes(rule, method, path) && may_reach(caller, rule.service);
        if (fits && (!best || is_better(rule, *best->rule))) {
            best = route_match{&owner->second, &rule};
        }
    }
    return best;
}

std::optional<route_match> match_open_route(const configuration& source, std::string_view method,
                                            std::string_view path) {
    std::optional<route_match> best;
    for (const auto& [name, owner] : source.templates) {
        for (const auto& rule : owner.routes) {
            const bool fits = rule.open && takes(rule, method, path);
            if (fits && (!best || is_better(rule, *best->rule))) {
                best = route_match{&owner, &rule};
            }
        }
    }
    return best;
}

bool is_valid(const configuration& source) {
    const auto valid_service = [](const auto& it) { return is_valid_service(it.second); };
    const auto valid_template = [&](const auto& it) { return is_valid_template(source, it.second); };
    const auto valid_team = [&](const auto& it) { return is_valid_team(source, it.second); };
    return std::all_of(source.services.begin(), source.services.end(), valid_service) &&
           std::all_of(source.templates.begin(), source.templates.end(), valid_template) &&
           std::all_of(source.teams.begin(), source.teams.end(), valid_team);
}

} // namespace lycheegap::catalog
