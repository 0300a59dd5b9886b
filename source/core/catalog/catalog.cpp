#include "catalog.h"

#include <algorithm>

#include <fmt/format.h>

#include "core/common/last_reason.h"

namespace lycheegap::catalog {

namespace {

constexpr std::size_t max_name_length = 100;
constexpr double max_rate_per_second = 1e7;
constexpr double max_burst = 1e7;
constexpr int max_timeout_ms = 600'000;
constexpr int max_attempts = 10;
constexpr int max_slots = 100'000;

bool reject(std::string_view record, std::string_view text) {
    common::fail(common::step::validate, record, text);
    return false;
}

bool is_valid_name(std::string_view name) {
    const auto allowed = [](unsigned char c) {
        return std::isalnum(c) != 0 || c == '-' || c == '_' || c == '.';
    };
    return !name.empty() && name.size() <= max_name_length && std::all_of(name.begin(), name.end(), allowed);
}

bool is_within(double value, double min, double max) {
    return value >= min && value <= max;
}

// A prefix matches whole path segments: "/plots" matches "/plots/7" but not "/plotsheets".
bool matches_prefix(std::string_view path, std::string_view prefix) {
    if (!path.starts_with(prefix)) {
        return false;
    }
    return prefix.ends_with('/') || path.size() == prefix.size() || path[prefix.size()] == '/';
}

bool matches(const route& rule, std::string_view method, std::string_view path) {
    return (rule.method == "*" || rule.method == method) && matches_prefix(path, rule.path_prefix);
}

bool may_use(const team& caller, std::string_view service_name) {
    return std::find(caller.services.begin(), caller.services.end(), service_name) != caller.services.end();
}

// The longer prefix wins; for equal lengths a rule for one method goes before one for any method.
bool is_more_specific(const route& candidate, const route& best) {
    if (candidate.path_prefix.size() != best.path_prefix.size()) {
        return candidate.path_prefix.size() > best.path_prefix.size();
    }
    return best.method == "*" && candidate.method != "*";
}

bool is_valid_route(const configuration& config, const team_template& owner, const route& rule) {
    const auto record = fmt::format("template {} route {} {}", owner.name, rule.method, rule.path_prefix);
    if (rule.method.empty()) {
        return reject(record, "method is empty");
    }
    if (!rule.path_prefix.starts_with('/')) {
        return reject(record, "path_prefix does not start with /");
    }
    if (!config.services.contains(rule.service)) {
        return reject(record, fmt::format("service '{}' does not exist", rule.service));
    }
    return true;
}

bool is_valid_template(const configuration& config, const team_template& it) {
    const auto record = fmt::format("template {}", it.name);
    if (!is_valid_name(it.name)) {
        return reject(record, "name is not made of letters, digits, '-', '_' and '.'");
    }
    if (!is_within(it.request_timeout_ms, 1, max_timeout_ms)) {
        return reject(record, fmt::format("request_timeout is outside 1 to {} ms", max_timeout_ms));
    }
    if (!is_within(it.queue_timeout_ms, 0, max_timeout_ms)) {
        return reject(record, fmt::format("queue_timeout is outside 0 to {} ms", max_timeout_ms));
    }
    if (!is_within(it.attempt_limit, 1, max_attempts)) {
        return reject(record, fmt::format("attempt_limit is outside 1 to {}", max_attempts));
    }
    if (!is_within(it.loan_percent, 0, 100)) {
        return reject(record, "loan_percent is outside 0 to 100");
    }
    return std::all_of(it.routes.begin(), it.routes.end(),
                       [&](const route& rule) { return is_valid_route(config, it, rule); });
}

bool has_existing_services(const configuration& config, const team& it, std::string_view record) {
    for (const auto& name : it.services) {
        if (!config.services.contains(name)) {
            return reject(record, fmt::format("service '{}' does not exist", name));
        }
    }
    return true;
}

bool has_valid_keys(const configuration& config, const team& it, std::string_view record) {
    const auto& withdrawn = config.withdrawn_digests;
    for (const auto& digest : it.key_digests) {
        if (std::find(withdrawn.begin(), withdrawn.end(), digest) != withdrawn.end()) {
            return reject(record, "a key was withdrawn; issue a new one");
        }
        const auto owner = config.team_by_digest.find(digest);
        if (owner != config.team_by_digest.end() && owner->second != it.name) {
            return reject(record, fmt::format("a key belongs to team '{}' already", owner->second));
        }
    }
    return true;
}

bool is_valid_team(const configuration& config, const team& it) {
    const auto record = fmt::format("team {}", it.name);
    if (!is_valid_name(it.name)) {
        return reject(record, "name is not made of letters, digits, '-', '_' and '.'");
    }
    if (!config.templates.contains(it.template_name)) {
        return reject(record, fmt::format("template '{}' does not exist", it.template_name));
    }
    if (!is_within(it.rate, 0, max_rate_per_second)) {
        return reject(record, fmt::format("rate is outside 0 to {}", max_rate_per_second));
    }
    if (!is_within(it.burst, 1, max_burst)) {
        return reject(record, fmt::format("burst is outside 1 to {}", max_burst));
    }
    return has_existing_services(config, it, record) && has_valid_keys(config, it, record);
}

bool is_valid_service(const service& it) {
    const auto record = fmt::format("service {}", it.name);
    if (!is_valid_name(it.name)) {
        return reject(record, "name is not made of letters, digits, '-', '_' and '.'");
    }
    for (const auto& entry : it.endpoints) {
        if (!is_valid_name(entry.name) || entry.address.find(':') == std::string::npos) {
            return reject(record, fmt::format("endpoint '{}' lacks a name or an address", entry.name));
        }
        if (!is_within(entry.slots, 1, max_slots)) {
            return reject(record,
                          fmt::format("endpoint '{}': slots are outside 1 to {}", entry.name, max_slots));
        }
    }
    return true;
}

} // namespace

void index_keys(configuration& config) {
    config.team_by_digest.clear();
    for (const auto& [name, it] : config.teams) {
        for (const auto& digest : it.key_digests) {
            config.team_by_digest.try_emplace(digest, name);
        }
    }
}

const team* find_team(const configuration& config, std::string_view digest) {
    const auto owner = config.team_by_digest.find(digest);
    if (owner == config.team_by_digest.end()) {
        return nullptr;
    }
    const auto it = config.teams.find(owner->second);
    return it == config.teams.end() ? nullptr : &it->second;
}

std::optional<route_match> match_route(const configuration& config, const team& caller,
                                       std::string_view method, std::string_view path) {
    const auto owner = config.templates.find(caller.template_name);
    if (owner == config.templates.end()) {
        return std::nullopt;
    }
    std::optional<route_match> best;
    for (const auto& rule : owner->second.routes) {
        const bool fits = matches(rule, method, path) && may_use(caller, rule.service);
        if (fits && (!best || is_more_specific(rule, *best->rule))) {
            best = route_match{&owner->second, &rule};
        }
    }
    return best;
}

std::optional<route_match> match_open_route(const configuration& config, std::string_view method,
                                            std::string_view path) {
    std::optional<route_match> best;
    for (const auto& [name, owner] : config.templates) {
        for (const auto& rule : owner.routes) {
            const bool fits = rule.open && matches(rule, method, path);
            if (fits && (!best || is_more_specific(rule, *best->rule))) {
                best = route_match{&owner, &rule};
            }
        }
    }
    return best;
}

bool is_valid(const configuration& config) {
    const auto valid_service = [](const auto& it) { return is_valid_service(it.second); };
    const auto valid_template = [&](const auto& it) { return is_valid_template(config, it.second); };
    const auto valid_team = [&](const auto& it) { return is_valid_team(config, it.second); };
    return std::all_of(config.services.begin(), config.services.end(), valid_service) &&
           std::all_of(config.templates.begin(), config.templates.end(), valid_template) &&
           std::all_of(config.teams.begin(), config.teams.end(), valid_team);
}

} // namespace lycheegap::catalog
