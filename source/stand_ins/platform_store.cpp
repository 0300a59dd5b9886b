#include "platform_store.h"

#include <algorithm>
#include <mutex>
#include <vector>

#include <fmt/format.h>
#include <nlohmann/json.hpp>

#include "core/common/percent_encoding.h"
#include "platform/decode.h"

namespace lycheegap::stand_ins {

namespace {

using common::milliseconds;
using common::monotonic;
using nlohmann::json;
using transport::http_request;
using transport::http_response;
using transport::parse_uint_or;
using transport::query_parameter;

using store_lock = std::unique_lock<common::ranked_mutex>;

constexpr int status_bad_request = 400;
constexpr int status_forbidden = 403;
constexpr int status_not_found = 404;
constexpr int status_gone = 410;
constexpr int status_precondition_failed = 412;
constexpr int status_unavailable = 503;
// Longer than any client timeout.
constexpr milliseconds lost_answer_delay{6000};
constexpr std::string_view lease_renew_prefix = "/api/kv-keep/";
constexpr std::string_view lease_end_prefix = "/api/kv-lease-end/";

http_response make_json_response(int status, const json& body) {
    return transport::json_response(status, body.dump());
}

/// A key as a JSON string. Bytes that are not valid UTF-8 are written as they are.
std::string key_text(std::string_view key) {
    std::string text;
    for (const char c : key) {
        const auto byte = static_cast<unsigned char>(c);
        if (byte < 0x20) {
            text += fmt::format("\\u{:04x}", byte);
        } else {
            text += c == '"' || c == '\\' ? std::string{'\\', c} : std::string{c};
        }
    }
    return fmt::format("\"{}\"", text);
}

std::string item_text(const platform_item& it) {
    if (it.removed) {
        return fmt::format(R"({{"key":{},"revision":{},"tombstone":true}})", key_text(it.key), it.revision);
    }
    return fmt::format(R"({{"key":{},"value":"{}","revision":{},"create_rev":{},"lease":{}}})",
                       key_text(it.key), platform::to_base64(it.value), it.revision, it.create_revision,
                       it.lease);
}

/// Response with the items in the field `name`; `more` are further fields.
http_response items_response(int status, std::string_view name, const std::vector<std::string>& items,
                             std::string_view more = "") {
    return transport::json_response(status,
                                    fmt::format(R"({{"{}":[{}]{}}})", name, fmt::join(items, ","), more));
}

/// Applies a change under a new revision and adds it to the history; the caller holds the lock.
void apply_change(platform_store& store, platform_item item) {
    item.revision = ++store.revision;
    store.history.push_back(item);
    if (item.removed) {
        store.items.erase(item.key);
    } else {
        const auto known = store.items.find(item.key);
        item.create_revision = known == store.items.end() ? item.revision : known->second.create_revision;
        store.items[item.key] = item;
    }
    store.changed.notify_all();
}

void remove_with_lock_held(platform_store& store, std::string_view key) {
    if (store.items.contains(key)) {
        platform_item deletion;
        deletion.key = std::string(key);
        deletion.removed = true;
        apply_change(store, std::move(deletion));
    }
}

/// Deletes a lease with all keys that it holds.
void end_lease(platform_store& store, std::uint64_t lease) {
    std::vector<std::string> keys;
    for (const auto& [key, it] : store.items) {
        if (it.lease == lease) {
            keys.push_back(key);
        }
    }
    store.leases.erase(lease);
    for (const auto& key : keys) {
        remove_with_lock_held(store, key);
    }
}

/// Ends all expired leases, except in an outage that suspends them.
void expire_leases(platform_store& store) {
    if (store.faults.outage && !store.faults.leases_run) {
        return;
    }
    std::vector<std::uint64_t> expired;
    for (const auto& [id, it] : store.leases) {
        if (it.expires_at <= monotonic::now()) {
            expired.push_back(id);
        }
    }
    for (const auto id : expired) {
        end_lease(store, id);
    }
}

/// Time at which the next lease expires, or the maximum without leases.
common::time_point next_expiry(const platform_store& store) {
    auto next = common::time_point::max();
    for (const auto& [id, it] : store.leases) {
        next = std::min(next, it.expires_at);
    }
    return next;
}

/// One page of the keys with a prefix, in key order after the key `after`.
http_response read_range(platform_store& store, std::string_view query) {
    const auto prefix = query_parameter(query, "prefix");
    const auto after = store.faults.repeats_pages ? std::string() : query_parameter(query, "after");
    std::vector<std::string> found;
    bool more = false;
    for (const auto& [key, it] : store.items) {
        if (!key.starts_with(prefix) || (!after.empty() && key <= after)) {
            continue;
        }
        more = found.size() == store.page_items;
        if (more) {
            break;
        }
        found.push_back(item_text(it));
    }
    return items_response(200, "items", found,
                          fmt::format(R"(,"has_more":{},"at_rev":{})", more, store.revision));
}

std::vector<std::string> events_after(const platform_store& store, std::string_view prefix,
                                      std::uint64_t after) {
    std::vector<std::string> events;
    for (const auto& it : store.history) {
        if (it.revision > after && it.key.starts_with(prefix)) {
            events.push_back(item_text(it));
        }
    }
    return events;
}

/// Long poll: waits for changes after a revision; 410 when the history no longer reaches back to it.
http_response watch(platform_store& store, store_lock& guard, std::string_view query) {
    const auto prefix = query_parameter(query, "prefix");
    const auto after = parse_uint_or(query_parameter(query, "after"), 0);
    const auto deadline =
        monotonic::now() + milliseconds(parse_uint_or(query_parameter(query, "wait_ms"), 0));
    while (!store.stopping && !store.faults.outage) {
        expire_leases(store);
        if (after < store.compacted_revision || after > store.revision) {
            return {status_gone, {}, {}};
        }
        const auto events =
            store.faults.suppresses_events ? std::vector<std::string>() : events_after(store, prefix, after);
        if (!events.empty() || monotonic::now() >= deadline) {
            return items_response(200, "events", events, fmt::format(R"(,"at_rev":{})", store.revision));
        }
        store.changed.wait_until(guard, std::min(deadline, next_expiry(store)));
    }
    return {status_unavailable, {}, {}};
}

/// Revision of a key; 0 if it does not exist.
std::uint64_t revision_of(const platform_store& store, const std::string& key) {
    const auto found = store.items.find(key);
    return found == store.items.end() ? 0 : found->second.revision;
}

/// The items named by the conditions of a transaction, as they are; keys that do not exist are left out.
std::vector<std::string> current_items(const platform_store& store, const json& conditions) {
    std::vector<std::string> items;
    for (const auto& it : conditions) {
        const auto found = store.items.find(it.at("key").get<std::string>());
        if (found != store.items.end()) {
            items.push_back(item_text(found->second));
        }
    }
    return items;
}

/// Keys that only operators and endpoints may write.
bool is_reserved(const std::string& key) {
    return key.starts_with("op/") || key.starts_with("servers/");
}

/// Applies all writes and deletes if the expected revisions match and every lease exists, else nothing.
http_response run_transaction(platform_store& store, const json& body) {
    for (const auto& it : body.value("expected", json::array())) {
        if (revision_of(store, it.at("key")) != it.at("revision").get<std::uint64_t>()) {
            return items_response(status_precondition_failed, "items",
                                  current_items(store, body.at("expected")));
        }
    }
    const auto writes = body.value("writes", json::array());
    for (const auto& it : writes) {
        const auto lease = it.value("lease", std::uint64_t{0});
        if (is_reserved(it.at("key"))) {
            return {status_forbidden, {}, {}};
        }
        if (lease != 0 && !store.leases.contains(lease)) {
            return {status_not_found, {}, {}};
        }
    }
    for (const auto& it : writes) {
        platform_item item;
        item.key = it.at("key");
        item.value = platform::from_base64(it.at("value").get<std::string>()).value_or("");
        item.lease = it.value("lease", std::uint64_t{0});
        apply_change(store, std::move(item));
    }
    for (const auto& it : body.value("deletes", json::array())) {
        remove_with_lock_held(store, it.get<std::string>());
    }
    return make_json_response(200, {{"revision", store.revision}});
}

http_response grant_lease(platform_store& store, const json& body) {
    const double seconds = body.value("ttl_s_time", 1.0);
    const milliseconds ttl{static_cast<std::int64_t>(seconds * 1000)};
    const auto id = store.next_lease++;
    store.leases[id] = {ttl, monotonic::now() + ttl};
    return make_json_response(200, {{"lease", id}, {"ttl_s_time", seconds}});
}

http_response renew_lease(platform_store& store, std::uint64_t id) {
    const auto found = store.leases.find(id);
    if (found == store.leases.end()) {
        return {status_not_found, {}, {}};
    }
    found->second.expires_at = monotonic::now() + found->second.ttl;
    return make_json_response(200, {{"ttl_s_time", static_cast<double>(found->second.ttl.count()) / 1000}});
}

http_response dispatch_call(platform_store& store, store_lock& guard, const http_request& request) {
    const std::string_view path = request.head.path;
    if (path == "/api/kv-range") {
        return read_range(store, request.head.query);
    }
    if (path == "/api/kv-watch") {
        return watch(store, guard, request.head.query);
    }
    if (path.starts_with(lease_renew_prefix)) {
        return renew_lease(store, parse_uint_or(path.substr(lease_renew_prefix.size()), 0));
    }
    if (path.starts_with(lease_end_prefix)) {
        end_lease(store, parse_uint_or(path.substr(lease_end_prefix.size()), 0));
        return make_json_response(200, json::object());
    }
    const auto body = json::parse(transport::as_text(request.body), nullptr, false);
    if (path == "/api/kv-lease") {
        return grant_lease(store, body);
    }
    if (path == "/api/kv-txn") {
        return run_transaction(store, body);
    }
    return {status_not_found, {}, {}};
}

/// Waits for the given time or until the store stops; releases the lock meanwhile.
void wait_unless_stopped(platform_store& store, store_lock& guard, milliseconds duration) {
    const auto deadline = monotonic::now() + duration;
    while (!store.stopping && monotonic::now() < deadline) {
        store.changed.wait_until(guard, deadline);
    }
}

execution::header era_header(const platform_store& store) {
    return {"Store-Era", std::to_string(store.era)};
}

http_response serve_client(platform_store& store, const http_request& request) {
    store_lock guard(store.mutex);
    ++store.calls;
    if (store.faults.delay_ms > 0) {
        wait_unless_stopped(store, guard, milliseconds{store.faults.delay_ms});
    }
    if (store.faults.outage || store.faults.refused_ips.contains(request.peer)) {
        return {status_unavailable, {era_header(store)}, {}};
    }
    expire_leases(store);
    auto response = dispatch_call(store, guard, request);
    response.headers.push_back(era_header(store));
    if (store.faults.loses_answers) {
        wait_unless_stopped(store, guard, lost_answer_delay);
    }
    return response;
}

void keep_copy_with_lock_held(platform_store& store) {
    store.copy = static_cast<const platform_contents&>(store);
}

void restore_copy_with_lock_held(platform_store& store) {
    static_cast<platform_contents&>(store) = store.copy;
    for (auto& [id, it] : store.leases) {
        it.expires_at = monotonic::now() + it.ttl;
    }
    ++store.era;
    store.changed.notify_all();
}

/// Starts or ends an outage. At the end, suspended leases get their full TTL again.
void set_outage(platform_store& store, bool outage) {
    if (store.faults.outage && !outage && !store.faults.leases_run) {
        for (auto& [id, it] : store.leases) {
            it.expires_at = monotonic::now() + it.ttl;
        }
    }
    store.faults.outage = outage;
    store.changed.notify_all();
}

http_response serve_control(platform_store& store, std::string_view query) {
    const std::lock_guard guard(store.mutex);
    auto& faults = store.faults;
    const auto flag = [&](std::string_view name, bool current) {
        return parse_uint_or(query_parameter(query, name), current ? 1 : 0) != 0;
    };
    faults.leases_run = flag("leases_run", faults.leases_run);
    faults.loses_answers = flag("loses_answers", faults.loses_answers);
    faults.delay_ms = static_cast<int>(parse_uint_or(query_parameter(query, "delay_ms"), faults.delay_ms));
    store.page_items = parse_uint_or(query_parameter(query, "page_items"), store.page_items);
    if (const auto ip = query_parameter(query, "refuse"); !ip.empty()) {
        faults.refused_ips.emplace(ip);
    }
    if (const auto ip = query_parameter(query, "accept"); !ip.empty()) {
        faults.refused_ips.erase(ip);
    }
    if (flag("drop_history", false)) {
        store.compacted_revision = store.revision;
        store.history.clear();
    }
    if (flag("keep_copy", false)) {
        keep_copy_with_lock_held(store);
    }
    if (flag("restore", false)) {
        restore_copy_with_lock_held(store);
    }
    set_outage(store, flag("outage", faults.outage));
    return {200, {}, "done\n"};
}

/// Writes and deletions of operators and endpoints; faults do not affect them.
http_response serve_operator(platform_store& store, const http_request& request) {
    const auto key = query_parameter(request.head.query, "key");
    if (request.head.method == "DELETE") {
        remove_item(store, key);
        return {200, {}, "done\n"};
    }
    const auto lease = parse_uint_or(query_parameter(request.head.query, "lease"), 0);
    const auto revision = put_item(store, key, transport::as_text(request.body), lease);
    return make_json_response(200, {{"revision", revision}});
}

} // namespace

http_response serve_platform_store(platform_store& store, const http_request& request) {
    if (!common::is_valid_query(request.head.query)) {
        return {status_bad_request, {}, "the query is not percent-encoded\n"};
    }
    if (request.head.path == "/control") {
        return serve_control(store, request.head.query);
    }
    if (request.head.path == "/operator") {
        return serve_operator(store, request);
    }
    return serve_client(store, request);
}

std::uint64_t put_item(platform_store& store, std::string_view key, std::string_view value,
                       std::uint64_t lease) {
    platform_item item;
    item.key = std::string(key);
    item.value = std::string(value);
    item.lease = lease;
    const std::lock_guard guard(store.mutex);
    apply_change(store, std::move(item));
    return store.revision;
}

void remove_item(platform_store& store, std::string_view key) {
    const std::lock_guard guard(store.mutex);
    remove_with_lock_held(store, key);
}

void drop_history(platform_store& store) {
    const std::lock_guard guard(store.mutex);
    store.compacted_revision = store.revision;
    store.history.clear();
    store.changed.notify_all();
}

void keep_copy(platform_store& store) {
    const std::lock_guard guard(store.mutex);
    keep_copy_with_lock_held(store);
}

void restore_copy(platform_store& store) {
    const std::lock_guard guard(store.mutex);
    restore_copy_with_lock_held(store);
}

void set_page_items(platform_store& store, std::size_t items) {
    const std::lock_guard guard(store.mutex);
    store.page_items = items;
}

void set_faults(platform_store& store, platform_faults faults) {
    const std::lock_guard guard(store.mutex);
    const bool outage = faults.outage;
    faults.outage = store.faults.outage;
    store.faults = std::move(faults);
    set_outage(store, outage);
}

void stop_platform_store(platform_store& store) {
    const std::lock_guard guard(store.mutex);
    store.stopping = true;
    store.changed.notify_all();
}

} // namespace lycheegap::stand_ins
