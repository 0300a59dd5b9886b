#include "attempt.h"

#include <algorithm>
#include <mutex>

#include <fmt/format.h>

#include "core/common/log.h"
#include "message_headers.h"

namespace lycheegap::gateway {

namespace {

using common::field;
using common::milliseconds;
using common::monotonic;

constexpr unsigned int status_misdirected = 421;
constexpr unsigned int first_server_error = 500;
// A dark endpoint answers no connect: two round trips between the farthest regions and one lost packet pass
// first.
constexpr milliseconds connect_time{450};
// Work that must not be repeated goes on a kept connection only this long after its last answer: an endpoint
// that closes the connection at the same moment would leave the outcome unknown.
constexpr milliseconds fresh_idle{2500};
// Idle connections kept for one endpoint.
constexpr std::size_t idle_limit = 8;

std::string connection_key(const traffic::endpoint_entry& entry) {
    return fmt::format("{}/{}/{}", entry.address, entry.id, entry.born);
}

void close_quietly(const connection_ptr& it) {
    net::post(it->strand, [it] { it->stream.close(); });
}

bool is_usable(endpoint_connection& it, bool idempotent, common::time_point now) {
    const auto least = idempotent ? now : now + fresh_idle;
    return it.idle_until > least && is_quiet(it);
}

connection_ptr take_idle(gateway_state& state, const std::string& key, bool idempotent) {
    const auto now = monotonic::now();
    std::vector<connection_ptr> stale;
    connection_ptr taken;
    {
        const std::lock_guard guard(state.connections.mutex);
        const auto found = state.connections.idle.find(key);
        while (!taken && found != state.connections.idle.end() && !found->second.empty()) {
            const auto last = found->second.back();
            found->second.pop_back();
            if (is_usable(*last, idempotent, now)) {
                taken = last;
            } else {
                stale.push_back(last);
            }
        }
    }
    std::for_each(stale.begin(), stale.end(), close_quietly);
    return taken;
}

connection_ptr connection_for(gateway_state& state, const traffic::endpoint_entry& entry, bool idempotent) {
    if (auto kept = take_idle(state, connection_key(entry), idempotent)) {
        return kept;
    }
    auto made = std::make_shared<endpoint_connection>(net::make_strand(state.io));
    made->peer = entry.address;
    common::count(state.metrics, "endpoint_connections");
    return made;
}

void keep_connection(gateway_state& state, const traffic::endpoint_entry& entry, const connection_ptr& it) {
    if (!it->reusable) {
        return;
    }
    const std::lock_guard guard(state.connections.mutex);
    auto& idle = state.connections.idle[connection_key(entry)];
    if (idle.size() < idle_limit) {
        idle.push_back(it);
        return;
    }
    close_quietly(it);
}

std::shared_ptr<exchange_request> make_request(gateway_state& state, const call& it,
                                               const admitted_call& admitted, const placed_call& placed,
                                               common::time_point due) {
    const auto& entry = placed.entry;
    const auto now = monotonic::now();
    const auto& names = state.options.headers;
    auto made = std::make_shared<exchange_request>();
    made->deadline = due;
    made->connect_deadline = now + connect_time;
    if (placed.basis.is_cold) {
        made->send_deadline = placed.basis.placed_at + traffic::cold_sending_time;
    }
    made->id_header = names.request_id;
    made->memory = &state.answers;
    const auto left = std::chrono::duration_cast<milliseconds>(admitted.answer_due - now);
    made->message =
        onward_request(it.request, names,
                       {.team = admitted.team == nullptr ? std::string_view() : admitted.team->name,
                        .target = entry.id,
                        .time_left = left});
    return made;
}

attempt_result judge(const header_names& names, exchange_result result) {
    if (result.end == exchange_end::not_sent) {
        return {attempt_kind::not_run, {}, std::move(result.reason)};
    }
    if (result.end != exchange_end::answered) {
        auto reason = fmt::format("{}: {}", end_name(result.end), result.reason);
        return {attempt_kind::lost, {}, std::move(reason)};
    }
    const auto status = result.answer.result_int();
    const bool states_not_run = result.answer.find(names.not_run) != result.answer.end();
    if (status >= 400 && (states_not_run || status == status_misdirected)) {
        return {attempt_kind::not_run, {}, fmt::format("shed with {}", status)};
    }
    if (status >= first_server_error) {
        return {attempt_kind::failed, std::move(result.answer), fmt::format("answered {}", status)};
    }
    return {attempt_kind::answered, std::move(result.answer), {}};
}

/// What an attempt tells of its endpoint.
void note_result(gateway_state& state, traffic::endpoint_state& endpoint, const attempt_result& result,
                 const std::optional<traffic::load_report>& report, exchange_end end) {
    const auto now = monotonic::now();
    const std::lock_guard guard(state.endpoints.mutex);
    if (report) {
        traffic::note_report(endpoint, *report, now);
    }
    traffic::note_ended(endpoint, end == exchange_end::answered, now);
    if (result.kind == attempt_kind::answered) {
        traffic::note_answer(endpoint);
    } else if (end != exchange_end::cancelled && end != exchange_end::timed_out) {
        traffic::note_failure(endpoint, now);
    }
}

/// Why this host took the endpoint: what it believed, from where, and how old that was.
void log_sending(gateway_state& state, const call& it, const placed_call& placed, bool kept) {
    const auto& basis = placed.basis;
    common::count(state.metrics, basis.is_cold ? "cold_attempts" : "warm_attempts");
    if (!may_log(state)) {
        return;
    }
    const auto now = monotonic::now();
    const bool told = basis.cold.told_at != common::time_point{};
    common::log_info(
        "attempt_sent",
        {field("request_id", to_view(it.request[state.options.headers.request_id])),
         field("endpoint", placed.entry.id), field("kept_connection", kept),
         field("basis", basis.is_cold ? "cold_share" : "warm"),
         field("cold_ms", basis.is_cold ? common::milliseconds_between(now, basis.cold.until) : 0),
         field("cold_source", traffic::source_name(basis.cold.source)),
         field("cold_told_ms", told ? common::milliseconds_between(basis.cold.told_at, now) : -1),
         field("revision", basis.cold.revision), field("cold_room", basis.cold_room),
         field("hosts", basis.hosts),
         field("hosts_age_ms",
               common::milliseconds_between(basis.hosts_confirmed_at, common::boot_clock::now()))});
}

void log_attempt(gateway_state& state, const call& it, const traffic::endpoint_entry& entry,
                 const attempt_result& result, bool kept) {
    if (result.kind == attempt_kind::answered || !may_log(state)) {
        return;
    }
    common::log_info(
        "attempt_failed",
        {field("request_id", to_view(it.request[state.options.headers.request_id])),
         field("endpoint", entry.id), field("address", entry.address), field("kept_connection", kept),
         field("may_have_run", result.kind != attempt_kind::not_run), field("reason", result.reason)});
}

} // namespace

awaitable<attempt_result> attempt(gateway_state& state, call_ptr it, const admitted_call& admitted,
                                  placed_call placed, common::time_point due) {
    const auto& entry = placed.entry;
    const auto& endpoint = placed.endpoint;
    const auto connection = connection_for(state, entry, admitted.route->idempotent);
    const bool kept = connection->connected;
    std::shared_ptr<const exchange_request> request = make_request(state, *it, admitted, placed, due);
    {
        const std::lock_guard guard(state.endpoints.mutex);
        traffic::note_sent(*endpoint, monotonic::now());
    }
    log_sending(state, *it, placed, kept);
    it->exchange = connection;
    auto exchange =
        co_await net::co_spawn(connection->strand, run_exchange(connection, request), net::use_awaitable);
    it->exchange.reset();
    if (it->abandoned) {
        // A cancellation may still be on its way to the connection.
        close_quietly(connection);
    } else {
        keep_connection(state, entry, connection);
    }
    const auto end = exchange.end;
    const auto report = reported_load(exchange.answer, state.options.headers.load);
    auto result = judge(state.options.headers, std::move(exchange));
    note_result(state, *endpoint, result, report, end);
    log_attempt(state, *it, entry, result, kept);
    co_return result;
}

void sweep_connections(gateway_state& state) {
    const auto now = monotonic::now();
    std::vector<connection_ptr> stale;
    {
        const std::lock_guard guard(state.connections.mutex);
        for (auto at = state.connections.idle.begin(); at != state.connections.idle.end();) {
            auto& idle = at->second;
            const auto first = std::partition(idle.begin(), idle.end(),
                                              [&](const auto& it) { return it->idle_until > now; });
            stale.insert(stale.end(), first, idle.end());
            idle.erase(first, idle.end());
            at = idle.empty() ? state.connections.idle.erase(at) : std::next(at);
        }
    }
    std::for_each(stale.begin(), stale.end(), close_quietly);
}

} // namespace lycheegap::gateway
