#include "store_table.h"

#include <mutex>
#include <thread>

#include <fmt/format.h>

namespace lycheegap::stand_ins {

namespace {

using common::milliseconds;
using common::monotonic;
using transport::http_request;
using transport::http_response;
using transport::parse_uint_or;
using transport::query_parameter;

constexpr std::string_view values_prefix = "/v1/values/";
constexpr std::size_t value_limit_bytes = 1U << 20U;
constexpr int status_not_found = 404;
constexpr int status_conflict = 409;
constexpr int status_too_large = 413;
constexpr int status_unavailable = 503;

http_response value_response(const stored_value& value) {
    return {200, {{"x-revision", std::to_string(value.revision)}}, value.data};
}

/// The value of a key, or null; erases a value whose lease has expired.
stored_value* find_unexpired(store_table& store, std::string_view key) {
    const auto it = store.values.find(key);
    if (it == store.values.end()) {
        return nullptr;
    }
    if (it->second.lease_deadline <= monotonic::now()) {
        store.values.erase(it);
        return nullptr;
    }
    return &it->second;
}

std::uint64_t revision_of(const stored_value* value) {
    return value == nullptr ? 0 : value->revision;
}

/// Long poll: waits until the revision differs from `after`, for at most `wait_ms`, and returns the value.
http_response get_value(store_table& store, std::string_view key, std::string_view query) {
    const auto known_revision = parse_uint_or(query_parameter(query, "after"), 0);
    const auto until = monotonic::now() + milliseconds(parse_uint_or(query_parameter(query, "wait_ms"), 0));
    std::unique_lock guard(store.mutex);
    while (revision_of(find_unexpired(store, key)) == known_revision && monotonic::now() < until &&
           !store.stopping && !store.faults.outage) {
        store.changed.wait_until(guard, until);
    }
    if (store.faults.outage) {
        return {status_unavailable, {}, {}};
    }
    const auto* value = find_unexpired(store, key);
    return value == nullptr ? http_response{status_not_found, {}, {}} : value_response(*value);
}

/// Writes a value if its revision is x-expected-revision (0: no value); 409 with the current one otherwise.
http_response put_value(store_table& store, std::string_view key, const http_request& request) {
    const auto& headers = request.head.headers;
    const auto expected = parse_uint_or(execution::find_header(headers, "x-expected-revision"), 0);
    const auto lease_ms = parse_uint_or(execution::find_header(headers, "x-lease-ms"), 0);
    if (request.body.size() > value_limit_bytes) {
        return {status_too_large, {}, {}};
    }
    const std::lock_guard guard(store.mutex);
    const auto current = revision_of(find_unexpired(store, key));
    if (current != expected) {
        return {status_conflict, {{"x-revision", std::to_string(current)}}, {}};
    }
    auto& value = store.values[std::string(key)];
    value.revision = store.next_revision++;
    value.data = std::string(transport::as_text(request.body));
    value.lease_deadline =
        lease_ms == 0 ? common::time_point::max() : monotonic::now() + milliseconds(lease_ms);
    ++store.writes;
    store.changed.notify_all();
    return {200, {{"x-revision", std::to_string(value.revision)}}, {}};
}

void wait_unless_stopped(store_table& store, int delay_ms) {
    const auto until = monotonic::now() + milliseconds(delay_ms);
    std::unique_lock guard(store.mutex);
    while (!store.stopping && monotonic::now() < until) {
        store.changed.wait_until(guard, until);
    }
}

/// Counts a call and returns the faults that apply to it.
store_faults begin_call(store_table& store) {
    const std::lock_guard guard(store.mutex);
    ++store.calls;
    return store.faults;
}

http_response serve_value(store_table& store, const http_request& request) {
    const auto faults = begin_call(store);
    if (faults.delay_ms > 0) {
        wait_unless_stopped(store, faults.delay_ms);
    }
    if (faults.outage) {
        return {status_unavailable, {}, {}};
    }
    const auto key = std::string_view(request.head.path).substr(values_prefix.size());
    if (request.head.method != "PUT") {
        return get_value(store, key, request.head.query);
    }
    auto response = put_value(store, key, request);
    if (faults.lost_answer_delay_ms > 0) {
        wait_unless_stopped(store, faults.lost_answer_delay_ms);
    }
    return response;
}

http_response set_faults(store_table& store, std::string_view query) {
    const std::lock_guard guard(store.mutex);
    auto& faults = store.faults;
    faults.outage = parse_uint_or(query_parameter(query, "outage"), faults.outage ? 1 : 0) != 0;
    faults.delay_ms = static_cast<int>(parse_uint_or(query_parameter(query, "delay_ms"), faults.delay_ms));
    faults.lost_answer_delay_ms = static_cast<int>(
        parse_uint_or(query_parameter(query, "lost_answer_delay_ms"), faults.lost_answer_delay_ms));
    store.changed.notify_all();
    return {200, {}, "done\n"};
}

http_response report_counts(store_table& store) {
    const std::lock_guard guard(store.mutex);
    return transport::json_response(200,
                                    fmt::format("{{\"calls\":{},\"writes\":{}}}", store.calls, store.writes));
}

} // namespace

http_response serve_store(store_table& store, const http_request& request) {
    const std::string_view path = request.head.path;
    if (path.starts_with(values_prefix)) {
        return serve_value(store, request);
    }
    if (path == "/control") {
        return set_faults(store, request.head.query);
    }
    if (path == "/counts") {
        return report_counts(store);
    }
    return {status_not_found, {}, {}};
}

void stop_store(store_table& store) {
    const std::lock_guard guard(store.mutex);
    store.stopping = true;
    store.changed.notify_all();
}

} // namespace lycheegap::stand_ins
