#include "admission.h"

#include <algorithm>

#include "host_state.h"
#include "spend.h"

namespace lycheegap::host {

namespace {

std::optional<catalog::route_match> find_route(exchange& it) {
    if (it.team != nullptr) {
        if (auto match = catalog::match_route(*it.configuration, *it.team, it.head.method, it.head.path)) {
            return match;
        }
    }
    it.team = nullptr;
    return catalog::match_open_route(*it.configuration, it.head.method, it.head.path);
}

bool is_safe_method(std::string_view method) {
    return method == "GET" || method == "HEAD" || method == "OPTIONS";
}

/// Whether an earlier request with the same id may have run as work class `once`: some template of the
/// catalog has such a route, or, for an unsafe method, a catalog that this host does not know may have one.
bool may_be_once_request(const exchange& it) {
    if (!is_safe_method(it.head.method)) {
        return true;
    }
    const auto matches = [&](const catalog::route& rule) {
        return rule.work == catalog::work_class::once &&
               (rule.method == "*" || rule.method == it.head.method) &&
               it.head.path.starts_with(rule.path_prefix);
    };
    const auto& templates = it.configuration->templates;
    return std::any_of(templates.begin(), templates.end(), [&](const auto& source) {
        const auto& routes = source.second.routes;
        return std::any_of(routes.begin(), routes.end(), matches);
    });
}

} // namespace

std::optional<exchange_result> admit(host_state& host, exchange& it) {
    const bool has_key = !it.key_digest.empty();
    if (has_key) {
        it.team = catalog::find_team(*it.configuration, it.key_digest);
        if (it.team == nullptr) {
            return refuse(host, it, refusal_reason::key, false, "the key does not work");
        }
    }
    const auto match = find_route(it);
    if (!match) {
        const auto reason = has_key ? refusal_reason::route : refusal_reason::key;
        return refuse(host, it, reason, false, has_key ? "no route for this team" : "a key is needed");
    }
    it.match = *match;
    it.deadline = it.arrived_at + common::milliseconds(match->owner->request_timeout_ms);
    return std::nullopt;
}

std::optional<exchange_result> check_authority_and_rate(host_state& host, const exchange& it) {
    if (it.team == nullptr) {
        return std::nullopt;
    }
    if (!has_authority(host, common::monotonic::now())) {
        return refuse(host, it, refusal_reason::authority, false, "this host has no current configuration");
    }
    switch (spend_token(host, *it.team, it.deadline)) {
    case spend_result::over_rate:
        return refuse(host, it, refusal_reason::rate, false, "the team is above its rate");
    case spend_result::home_unreachable:
        return refuse(host, it, refusal_reason::home, false, "the team's home host gives no answer");
    case spend_result::granted:
        break;
    }
    return std::nullopt;
}

exchange_result correct_refusal_outcome(host_state& host, const exchange& it, exchange_result refused) {
    if (!it.id || !may_be_once_request(it)) {
        return refused;
    }
    const auto known = resolve_outcome(host, *it.id);
    if (known && known->state == execution::outcome_state::not_run) {
        return refused;
    }
    return refuse_with(host, it, refusal_reason::id, true, "refused; an earlier sending may have run",
                       refused.response.status, "");
}

} // namespace lycheegap::host
