#include "store_client.h"

#include <fmt/format.h>

#include "core/common/last_reason.h"
#include "core/common/percent_encoding.h"

namespace lycheegap::transport {

namespace {

constexpr int status_ok = 200;
constexpr int status_not_found = 404;
constexpr int status_conflict = 409;

std::string value_path(std::string_view key) {
    return fmt::format("/v1/values/{}", common::percent_encode(key, "/"));
}

http_result call_store(const store_client& store, execution::request_head head, std::string_view body,
                       common::milliseconds server_wait) {
    common::count(*store.metrics, "store_calls");
    http_call call;
    call.address = store.address;
    call.head = std::move(head);
    call.body = as_bytes(body);
    call.deadline = common::monotonic::now() + store.call_timeout + server_wait;
    auto result = call_http(*store.connections, call);
    if (!result.response) {
        common::count(*store.metrics, "store_calls_failed");
    }
    return result;
}

std::uint64_t response_revision(const http_response& answer) {
    return parse_uint_or(execution::find_header(answer.headers, "x-revision"), 0);
}

std::optional<store_value> get_value(const store_client& store, std::string_view key, std::string query,
                                     common::milliseconds server_wait) {
    const auto requested_at = common::monotonic::now();
    const auto result = call_store(store, {"GET", value_path(key), std::move(query), {}}, {}, server_wait);
    if (!result.response) {
        return std::nullopt;
    }
    if (result.response->status == status_not_found) {
        return store_value{0, {}, requested_at};
    }
    const bool has_revision = !execution::find_header(result.response->headers, "x-revision").empty();
    if (result.response->status != status_ok || !has_revision) {
        return common::fail(common::step::store_read, store.address,
                            fmt::format("status {}", result.response->status));
    }
    return store_value{response_revision(*result.response), result.response->body, requested_at};
}

swap_result resolve_lost_write(const store_client& store, std::string_view key,
                               std::uint64_t expected_revision, std::string_view data) {
    const auto current = read_value(store, key);
    if (!current) {
        return {};
    }
    if (current->data == data && current->revision > expected_revision) {
        return {swap_state::written, current->revision};
    }
    // Undecided: with an unchanged revision the write may still be in flight, and another value may have been
    // written after this one.
    return {swap_state::unknown, current->revision};
}

} // namespace

std::optional<store_value> read_value(const store_client& store, std::string_view key) {
    return get_value(store, key, {}, common::milliseconds(0));
}

std::optional<store_value> watch_value(const store_client& store, std::string_view key,
                                       std::uint64_t known_revision, common::milliseconds max_wait) {
    return get_value(store, key, fmt::format("after={}&wait_ms={}", known_revision, max_wait.count()),
                     max_wait);
}

swap_result compare_and_swap(const store_client& store, std::string_view key, std::uint64_t expected_revision,
                             std::string_view data) {
    const execution::header condition{"x-expected-revision", std::to_string(expected_revision)};
    const auto result = call_store(store, {"PUT", value_path(key), {}, {condition}}, data, {});
    if (!result.response) {
        return result.may_have_been_sent ? resolve_lost_write(store, key, expected_revision, data)
                                         : swap_result{};
    }
    if (result.response->status == status_ok) {
        return {swap_state::written, response_revision(*result.response)};
    }
    if (result.response->status == status_conflict) {
        return {swap_state::conflict, response_revision(*result.response)};
    }
    common::fail(common::step::store_write, store.address, fmt::format("status {}", result.response->status));
    return {};
}

} // namespace lycheegap::transport
