#include "serve_request.h"

#include <atomic>

#include <fmt/format.h>

#include "core/common/digest.h"
#include "core/common/last_reason.h"
#include "core/common/log.h"
#include "core/execution/attempt.h"
#include "core/schema/codec.h"
#include "core/schema/generated/callers_generated.h"
#include "endpoint_use.h"
#include "host_state.h"
#include "spend.h"

namespace lycheegap::host {

namespace {

using common::field;
using common::monotonic;
using execution::attempt_result;
using execution::next_action;
using transport::http_request;
using transport::http_response;

constexpr std::string_view shed_header = "x-shed";
constexpr std::string_view request_id_header = "x-request-id";
constexpr std::string_view deadline_header = "x-deadline-ms";

enum class refusal_reason : std::uint8_t { key, route, authority, rate, home, endpoint };

struct refusal_kind {
    std::string_view name;
    int status;
};

refusal_kind kind_of(refusal_reason reason) {
    switch (reason) {
    case refusal_reason::key:
        return {"key", 401};
    case refusal_reason::route:
        return {"route", 404};
    case refusal_reason::authority:
        return {"authority", 503};
    case refusal_reason::rate:
        return {"rate", 429};
    case refusal_reason::home:
        return {"home", 503};
    case refusal_reason::endpoint:
        return {"endpoint", 503};
    }
    return {"internal", 500};
}

/// One request while it is served.
struct exchange {
    execution::request_head head;
    std::span<const std::byte> body;
    std::string request_id;
    std::shared_ptr<const catalog::configuration> configuration;
    /// Null on open routes.
    const catalog::team* team{nullptr};
    catalog::route_match match;
    common::time_point deadline;
};

http_response refuse(host_state& host, const exchange& it, refusal_reason reason, bool may_have_run,
                     std::string_view text) {
    const auto kind = kind_of(reason);
    schema::refusal_t refusal;
    refusal.reason = kind.name;
    refusal.outcome = may_have_run ? "unknown" : "not_run";
    refusal.text = text;
    refusal.request_id = it.request_id;
    common::count(host.metrics, fmt::format("refused_{}", kind.name));
    common::log_info("request_refused", {field("request", it.request_id), field("reason", kind.name),
                                         field("outcome", refusal.outcome),
                                         field("team", it.team != nullptr ? it.team->name : "-")});
    auto answer = transport::json_response(kind.status, schema::to_json<schema::refusal>(refusal));
    answer.headers.push_back({"x-outcome", refusal.outcome});
    return answer;
}

std::string make_request_id(host_state& host, const execution::request_head& head) {
    const auto given = execution::find_header(head.headers, request_id_header);
    if (!given.empty()) {
        return std::string(given);
    }
    static std::atomic<std::uint64_t> counter{0};
    return fmt::format("{:016x}.{}", host.self.incarnation, counter.fetch_add(1));
}

/// Finds team and route; a refusal when there is none.
std::optional<http_response> admit(host_state& host, exchange& it) {
    const auto key = execution::take_key(it.head);
    if (key) {
        it.team = catalog::find_team(*it.configuration, common::key_digest(*key));
        if (it.team == nullptr) {
            return refuse(host, it, refusal_reason::key, false, "the key does not work");
        }
    }
    auto match = it.team != nullptr
                     ? catalog::match_route(*it.configuration, *it.team, it.head.method, it.head.path)
                     : std::nullopt;
    if (!match) {
        match = catalog::match_open_route(*it.configuration, it.head.method, it.head.path);
        it.team = nullptr;
    }
    if (!match) {
        const auto reason = key ? refusal_reason::route : refusal_reason::key;
        return refuse(host, it, reason, false, key ? "no route for this team" : "a key is needed");
    }
    it.match = *match;
    it.deadline = monotonic::now() + common::milliseconds(match->source->request_timeout_ms);
    return std::nullopt;
}

/// Checks authority and spends a token; open routes need neither.
std::optional<http_response> spend(host_state& host, const exchange& it) {
    if (it.team == nullptr) {
        return std::nullopt;
    }
    if (!has_authority(host, monotonic::now())) {
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

execution::request_head head_for_endpoint(const exchange& it) {
    auto head = it.head;
    const auto is_replaced = [](const execution::header& header) {
        return execution::same_name(header.name, "host") || execution::same_name(header.name, "connection") ||
               execution::same_name(header.name, "content-length") ||
               execution::same_name(header.name, "transfer-encoding") ||
               execution::same_name(header.name, "expect") ||
               execution::same_name(header.name, request_id_header) ||
               execution::same_name(header.name, deadline_header);
    };
    std::erase_if(head.headers, is_replaced);
    head.headers.push_back({std::string(request_id_header), it.request_id});
    const auto left = std::max<std::int64_t>(0, common::milliseconds_between(monotonic::now(), it.deadline));
    head.headers.push_back({std::string(deadline_header), std::to_string(left)});
    return head;
}

attempt_result classify(const transport::http_result& result) {
    if (!result.response) {
        return result.may_have_left ? attempt_result::lost : attempt_result::not_sent;
    }
    const bool shed = !execution::find_header(result.response->headers, shed_header).empty();
    return shed ? attempt_result::shed : attempt_result::answered;
}

struct attempt_end {
    attempt_result result{attempt_result::not_sent};
    std::optional<http_response> response;
};

attempt_end attempt_at(host_state& host, const exchange& it, const std::string& address) {
    const auto began_at = monotonic::now();
    transport::http_call call{address, head_for_endpoint(it), it.body, it.deadline};
    auto outcome = transport::call_http(host.endpoint_connections, call);
    const auto result = classify(outcome);
    const double latency_ms = common::seconds_between(began_at, monotonic::now()) * 1000;
    give_back_endpoint(host, it.match.rule->service, address, result, latency_ms);
    if (outcome.response) {
        learn_from_head(host, address, outcome.response->headers);
    }
    if (result != attempt_result::answered) {
        common::log_warning("attempt_failed", {field("request", it.request_id), field("endpoint", address),
                                               field("reason", common::last_reason().text)});
    }
    return {result, std::move(outcome.response)};
}

http_response run_attempts(host_state& host, const exchange& it) {
    execution::attempt_state state{it.match.rule->work, 0, it.match.source->attempt_limit, it.deadline,
                                   false};
    std::string tried;
    while (true) {
        const auto address = take_endpoint(host, it.match.rule->service, tried);
        if (!address) {
            return refuse(host, it, refusal_reason::endpoint, state.may_have_run, "no endpoint is free");
        }
        auto end = attempt_at(host, it, *address);
        switch (execution::after_attempt(state, end.result, monotonic::now())) {
        case next_action::pass_answer:
            return std::move(*end.response);
        case next_action::refuse_not_run:
            return refuse(host, it, refusal_reason::endpoint, false, "no endpoint took the request");
        case next_action::refuse_unknown:
            return refuse(host, it, refusal_reason::endpoint, true, "the endpoint's answer was lost");
        case next_action::try_again:
            tried = *address;
        }
    }
}

} // namespace

http_response serve_request(host_state& host, const http_request& request) {
    const auto began_at = monotonic::now();
    exchange it;
    it.head = request.head;
    it.body = request.body;
    it.request_id = make_request_id(host, request.head);
    it.configuration = current_catalog(host);
    if (auto refused = admit(host, it)) {
        return std::move(*refused);
    }
    if (auto refused = spend(host, it)) {
        return std::move(*refused);
    }
    auto answer = run_attempts(host, it);
    common::measure(host.metrics, "request_ms", common::seconds_between(began_at, monotonic::now()) * 1000);
    common::log_debug("request_served", {field("request", it.request_id), field("status", answer.status)});
    return answer;
}

} // namespace lycheegap::host
