#include "attempt.h"

#include <mutex>

#include <fmt/format.h>

#include "connection_pool.h"
#include "core/common/log.h"
#include "core/common/store_revision.h"
#include "core/traffic/remaining_work.h"
#include "limit_notices.h"
#include "load_exchange.h"
#include "message_headers.h"
#include "work_record.h"

namespace lycheegap::gateway {

namespace {

using common::field;
using common::milliseconds;
using common::monotonic;

constexpr unsigned int status_misdirected = 421;
constexpr unsigned int first_redirect = 300;
constexpr unsigned int first_server_error = 500;
// Covers two round trips between the farthest regions and one lost packet. An unreachable endpoint does not
// respond to connects at all.
constexpr milliseconds connect_timeout{450};

/// Whether the endpoint still wants the request: it may have said otherwise since the placement. One that was
/// placed before the endpoint named a limit doesn't count against it.
bool wants_request(gateway_state& state, const traffic::endpoint_state& endpoint, bool counts_against_limit) {
    bool wanted = false;
    {
        const std::lock_guard guard(state.endpoints.mutex);
        wanted = !endpoint.wishes.leaving && !traffic::is_resting(endpoint, monotonic::now()) &&
                 (counts_against_limit || !endpoint.limit.per_second);
    }
    if (!wanted) {
        common::count(state.metrics, "requests_withheld");
    }
    return wanted;
}

/// Applies what the head of a response says about its endpoint. A misdirected request was answered by another
/// endpoint, which has taken over the address.
void note_response_head(gateway_state& state, const traffic::endpoint_ptr& endpoint,
                        const http::response_header<>& head) {
    const auto& leaving = state.options.headers.leaving;
    if (leaving.empty() || head.result_int() == status_misdirected || head.find(leaving) == head.end()) {
        return;
    }
    bool is_news = false;
    std::string id;
    {
        const std::lock_guard guard(state.endpoints.mutex);
        is_news = traffic::note_leaving(*endpoint);
        id = endpoint->entry.id;
    }
    if (is_news) {
        common::log_info("endpoint_leaving", {field("endpoint", id), field("source", "answer")});
    }
}

std::shared_ptr<exchange_request> make_exchange_request(gateway_state& state, const call& it,
                                                        const admitted_call& admitted,
                                                        const placed_call& placed) {
    const auto& entry = placed.entry;
    const auto now = monotonic::now();
    const auto& names = state.options.headers;
    auto made = std::make_shared<exchange_request>();
    made->deadline = admitted.response_deadline;
    made->connect_deadline = now + connect_timeout;
    if (placed.basis.is_cold || placed.basis.limit) {
        made->send_deadline = placed.basis.placed_at + traffic::cold_sending_time;
    }
    made->may_send = [&state, endpoint = placed.endpoint, limited = placed.basis.limit.has_value()] {
        return wants_request(state, *endpoint, limited);
    };
    if (!names.leaving.empty() || !names.limit.empty()) {
        made->on_head = [&state, endpoint = placed.endpoint](const http::response_header<>& head) {
            note_response_head(state, endpoint, head);
            note_limit_in_head(state, endpoint, head);
        };
    }
    made->id_header = names.request_id;
    made->budget = &state.call_memory;
    made->body = it.body;
    const auto left = std::chrono::duration_cast<milliseconds>(admitted.response_deadline - now);
    made->message =
        forwarded_request(it.request, it.body->bytes, names,
                          {.team = admitted.team == nullptr ? std::string_view() : admitted.team->name,
                           .target = entry.id,
                           .time_left = left});
    return made;
}

/// Decides what the end of an exchange means for the request. An endpoint that sheds the request, with the
/// not-run header or status 421 (misdirected request), has not run it.
attempt_result classify_result(const header_names& names, exchange_result result) {
    if (result.outcome == exchange_outcome::not_sent) {
        return {attempt_outcome::not_run, {}, std::move(result.reason), result.ended_by, {}};
    }
    if (result.outcome != exchange_outcome::answered) {
        auto reason = fmt::format("{}: {}", exchange_outcome_name(result.outcome), result.reason);
        return {attempt_outcome::lost, {}, std::move(reason), result.ended_by, {}};
    }
    const auto status = result.response.result_int();
    const bool states_not_run = result.response.find(names.not_run) != result.response.end();
    if (status >= 400 && (states_not_run || status == status_misdirected)) {
        return {attempt_outcome::not_run, {}, fmt::format("shed with {}", status), {}, {}};
    }
    if (status >= first_server_error) {
        return {attempt_outcome::failed,
                std::move(result.response),
                fmt::format("answered {}", status),
                {},
                std::move(result.memory)};
    }
    return {attempt_outcome::answered, std::move(result.response), {}, {}, std::move(result.memory)};
}

/// Updates the load, work and failure statistics of the endpoint.
void record_result(gateway_state& state, running_attempt& it, const attempt_result& result,
                   traffic::work_kind kind, const std::optional<traffic::load_report>& report,
                   exchange_outcome outcome) {
    if (std::exchange(it.recorded, true)) {
        return;
    }
    const auto now = monotonic::now();
    auto& endpoint = *it.placed.endpoint;
    const std::lock_guard guard(state.endpoints.mutex);
    const ended_attempt ended{.attempt = &it,
                              .kind = kind,
                              .succeeded = result.outcome == attempt_outcome::answered &&
                                           result.response.result_int() < first_redirect,
                              .ended_at = now,
                              .report = report,
                              .report_before = endpoint.last_report,
                              .report_before_at = endpoint.last_report_at};
    if (report) {
        traffic::note_report(endpoint, *report, now);
    }
    record_work(state, ended);
    // Without requests in flight its silence would be forgotten, and a frozen endpoint would look idle.
    const bool lost_while_silent =
        it.cancelled == cancel_reason::answered_by_other && traffic::is_silent_since(endpoint, it.sent_at);
    traffic::note_ended(endpoint, outcome == exchange_outcome::answered, now);
    if (result.outcome == attempt_outcome::answered) {
        traffic::note_success(endpoint);
    } else if (lost_while_silent ||
               (outcome != exchange_outcome::cancelled && outcome != exchange_outcome::timed_out &&
                result.ended_by != exchange_end::withheld)) {
        traffic::note_failure(endpoint, now);
    }
}

/// Grants the rest that an endpoint asks for when it turns a request away.
void note_requested_rest(gateway_state& state, traffic::endpoint_state& endpoint,
                         const response_message& response) {
    if (response.result() != http::status::service_unavailable ||
        response.find(http::field::retry_after) == response.end()) {
        return;
    }
    const auto length = parse_retry_after(response);
    std::string id;
    {
        const std::lock_guard guard(state.endpoints.mutex);
        id = endpoint.entry.id;
        if (length) {
            traffic::note_rest(endpoint, *length, monotonic::now());
        }
    }
    if (length) {
        common::count(state.metrics, "endpoint_rests");
        common::log_info("endpoint_resting", {field("endpoint", id), field("ms", length->count())});
    } else {
        common::log_warning(
            "endpoint_rest_unreadable",
            {field("endpoint", id),
             field("retry_after", to_view(response[http::field::retry_after]).substr(0, 40))});
    }
}

/// Which of the endpoint's limits the request counts against.
std::string_view basis_name(const placement_basis& basis) {
    if (basis.is_cold) {
        return "cold_share";
    }
    return basis.limit ? "limit_share" : "warm";
}

/// Logs an attempt with its deadline and the basis of its placement: whether the endpoint was considered
/// cold, the source and age of that state, and the age of the fleet view.
void log_attempt_sent(gateway_state& state, const call& pending, const running_attempt& it) {
    const auto& basis = it.placed.basis;
    common::count(state.metrics, basis.is_cold ? "cold_attempts" : "warm_attempts");
    if (basis.limit) {
        common::count(state.metrics, "limited_attempts");
    }
    if (!may_log(state)) {
        return;
    }
    const auto now = monotonic::now();
    const bool told = basis.cold.updated_at != common::time_point{};
    common::log_info(
        "attempt_sent",
        {field("request_id", to_view(pending.request[state.options.headers.request_id])),
         field("attempt", it.number),
         field("endpoint", it.placed.entry.id),
         field("kept_connection", it.kept_connection),
         field("due_ms", common::milliseconds_between(now, it.request->deadline)),
         field("rule", traffic::rule_name(basis.expected.rule)),
         field("rank", basis.expected.rank),
         field("region", it.placed.entry.region),
         field("expected_wait_ms", common::milliseconds_between(it.sent_at, basis.expected.expected_start)),
         field("expected_ms", common::milliseconds_between(it.sent_at, basis.expected.expected_end)),
         field("stopping", state.stopping.load()),
         field("basis", basis_name(basis)),
         field("limit", basis.limit.value_or(0)),
         field("cold_ms", basis.is_cold ? common::milliseconds_between(now, basis.cold.until) : 0),
         field("cold_source", traffic::source_name(basis.cold.source)),
         field("cold_told_ms", told ? common::milliseconds_between(basis.cold.updated_at, now) : -1),
         field("revision", common::number_of(basis.cold.revision)),
         field("cold_room", basis.cold_room),
         field("hosts", basis.hosts),
         field("hosts_age_ms",
               common::milliseconds_between(basis.hosts_confirmed_at, common::boot_clock::now()))});
}

std::string_view end_name(const running_attempt& it, const attempt_result& result) {
    switch (it.cancelled) {
    case cancel_reason::caller_left:
        return "caller_left";
    case cancel_reason::answered_by_other:
        return "answered_by_other";
    case cancel_reason::stopping:
        return "stopping";
    case cancel_reason::internal_error:
        return "internal_error";
    case cancel_reason::none:
        break;
    }
    return exchange_end_name(result.ended_by);
}

/// Logs the end of an attempt that was not answered, with what could replace it at that moment.
void log_attempt_failed(gateway_state& state, const call& pending, std::string_view service,
                        const running_attempt& it, const attempt_result& result) {
    if (result.outcome == attempt_outcome::answered || !may_log(state)) {
        return;
    }
    common::log_info("attempt_failed",
                     {field("request_id", to_view(pending.request[state.options.headers.request_id])),
                      field("attempt", it.number), field("endpoint", it.placed.entry.id),
                      field("address", it.placed.entry.address), field("kept_connection", it.kept_connection),
                      field("ms", common::milliseconds_between(it.sent_at, monotonic::now())),
                      field("ended_by", end_name(it, result)),
                      field("may_have_run", result.outcome != attempt_outcome::not_run),
                      field("retries_left", retries_left(state, service)),
                      field("stopping", state.stopping.load()), field("reason", result.reason)});
}

} // namespace

attempt_ptr begin_attempt(gateway_state& state, const call& pending, const admitted_call& admitted,
                          placed_call placed, std::size_t number) {
    auto it = std::make_shared<running_attempt>();
    it->placed = std::move(placed);
    it->number = number;
    it->sent_at = monotonic::now();
    it->connection = acquire_connection(state, it->placed.entry, admitted.route->idempotent);
    it->kept_connection = it->connection->connected;
    if (it->kept_connection) {
        it->rest = std::chrono::duration_cast<milliseconds>(it->sent_at - it->connection->idle_since);
    }
    it->request = make_exchange_request(state, pending, admitted, it->placed);
    {
        const std::lock_guard guard(state.endpoints.mutex);
        traffic::note_sent(*it->placed.endpoint, it->sent_at);
        const auto& expected = it->placed.basis.expected;
        if (expected.rule == traffic::placement_rule::by_work) {
            it->work_id = traffic::begin_work(*it->placed.endpoint, expected.expected_start, expected.work);
        }
    }
    log_attempt_sent(state, pending, *it);
    return it;
}

awaitable<attempt_result> run_attempt(gateway_state& state, call_ptr pending, const admitted_call& admitted,
                                      attempt_ptr it) {
    const auto connection = it->connection;
    auto exchange =
        co_await net::co_spawn(connection->strand, run_exchange(connection, it->request), net::use_awaitable);
    if (it->cancelled != cancel_reason::none) {
        // `cancel_exchange` may still be queued on the strand and would cancel the connection's next
        // exchange.
        close_on_strand(connection);
    } else {
        release_connection(state, it->placed.entry, connection);
    }
    const auto outcome = exchange.outcome;
    if (it->kept_connection) {
        note_kept_exchange(
            state, it->placed.entry,
            {.rest = it->rest,
             .length = std::chrono::duration_cast<milliseconds>(monotonic::now() - it->sent_at),
             .outcome = outcome,
             .ended_by = exchange.ended_by});
    }
    note_requested_rest(state, *it->placed.endpoint, exchange.response);
    const auto report = parse_load_report(exchange.response, state.options.headers.load);
    if (report) {
        keep_load_report(state, it->placed.entry, *report, monotonic::now());
    }
    auto result = classify_result(state.options.headers, std::move(exchange));
    record_result(state, *it, result, work_kind_of(*pending, admitted), report, outcome);
    log_attempt_failed(state, *pending, admitted.service, *it, result);
    co_return result;
}

void end_failed_attempt(gateway_state& state, const call& pending, const admitted_call& admitted,
                        running_attempt& it) {
    if (it.result) {
        return;
    }
    close_on_strand(it.connection);
    attempt_result result{attempt_outcome::lost, {}, "internal error", {}, {}};
    record_result(state, it, result, work_kind_of(pending, admitted), {}, exchange_outcome::lost);
    log_attempt_failed(state, pending, admitted.service, it, result);
    it.result = std::move(result);
}

void cancel_attempt(running_attempt& it, cancel_reason why) {
    if (it.result || it.cancelled != cancel_reason::none) {
        return;
    }
    it.cancelled = why;
    cancel_exchange(it.connection);
}

} // namespace lycheegap::gateway
