#include "store_client.h"

#include <fmt/format.h>

#include "core/common/last_reason.h"

namespace lycheegap::transport {

namespace {

constexpr int status_ok = 200;
constexpr int status_absent = 404;
constexpr int status_conflict = 409;

std::string path_of(std::string_view key) {
    return fmt::format("/v1/values/{}", key);
}

http_result call_store(const store_client& store, execution::request_head head, std::string_view body,
                       common::milliseconds extra_wait) {
    common::count(*store.metrics, "store_calls");
    http_call call;
    call.address = store.address;
    call.head = std::move(head);
    call.body = as_bytes(body);
    call.deadline = common::monotonic::now() + store.call_timeout + extra_wait;
    auto result = call_http(*store.connections, call);
    if (!result.response) {
        common::count(*store.metrics, "store_calls_failed");
    }
    return result;
}

std::uint64_t revision_of(const http_response& answer) {
    return number_or(execution::find_header(answer.headers, "x-revision"), 0);
}

std::optional<store_value> get_value(const store_client& store, std::string_view key, std::string query,
                                     common::milliseconds extra_wait) {
    const auto asked_at = common::monotonic::now();
    const auto result = call_store(store, {"GET", path_of(key), std::move(query), {}}, {}, extra_wait);
    if (!result.response) {
        return std::nullopt;
    }
    if (result.response->status == status_absent) {
        return store_value{0, {}, asked_at};
    }
    const bool has_revision = !execution::find_header(result.response->headers, "x-revision").empty();
    if (result.response->status != status_ok || !has_revision) {
        return common::fail(common::step::store_read, store.address,
                            fmt::format("status {}", result.response->status));
    }
    return store_value{revision_of(*result.response), result.response->body, asked_at};
}

swap_result read_back(const store_client& store, std::string_view key, std::uint64_t expected,
                      std::string_view data) {
    const auto current = read_value(store, key);
    if (!current) {
        return {};
    }
    if (current->data == data && current->revision > expected) {
        return {swap_state::written, current->revision};
    }
    // An unchanged revision does not tell: the write may still be on its way. Another value does not tell
    // either: it may stand on ours.
    return {swap_state::unknown, current->revision};
}

} // namespace

std::optional<store_value> read_value(const store_client& store, std::string_view key) {
    return get_value(store, key, {}, common::milliseconds(0));
}

std::optional<store_value> watch_value(const store_client& store, std::string_view key, std::uint64_t seen,
                                       common::milliseconds wait) {
    return get_value(store, key, fmt::format("after={}&wait_ms={}", seen, wait.count()), wait);
}

swap_result compare_and_swap(const store_client& store, std::string_view key, std::uint64_t expected,
                             std::string_view data) {
    const execution::header condition{"x-expected-revision", std::to_string(expected)};
    const auto result = call_store(store, {"PUT", path_of(key), {}, {condition}}, data, {});
    if (!result.response) {
        return result.may_have_left ? read_back(store, key, expected, data) : swap_result{};
    }
    if (result.response->status == status_ok) {
        return {swap_state::written, revision_of(*result.response)};
    }
    if (result.response->status == status_conflict) {
        return {swap_state::conflict, revision_of(*result.response)};
    }
    common::fail(common::step::store_write, store.address, fmt::format("status {}", result.response->status));
    return {};
}

} // namespace lycheegap::transport
