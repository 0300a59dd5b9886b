#include "limit_notices.h"

#include <algorithm>
#include <mutex>
#include <unordered_map>

#include "core/common/log.h"
#include "core/schema/peer_codec.h"
#include "core/traffic/load_sharing.h"
#include "core/traffic/store_outage.h"
#include "fleet_link.h"
#include "message_headers.h"
#include "task.h"

namespace lycheegap::gateway {

namespace {

using common::field;
using common::milliseconds;
using common::monotonic;

constexpr unsigned int first_final_status = 200;
constexpr unsigned int status_misdirected = 421;
constexpr unsigned int first_server_error = 500;
// A host that has joined, or missed a notice, hears of all limits about as often as this.
constexpr milliseconds sharing_interval{1000};
// News of this time are sent together.
constexpr milliseconds news_interval{50};
// Covers a round trip between regions and one lost packet.
constexpr milliseconds notice_timeout{500};
constexpr std::size_t max_limits_per_notice = 512;
constexpr std::size_t max_logged_value = 40;

using limit_records = std::vector<schema::endpoint_limit_record>;

void log_news(const std::string& endpoint, const std::optional<double>& per_second, std::string_view source) {
    if (per_second) {
        common::log_info("endpoint_limited", {field("endpoint", endpoint), field("per_second", *per_second),
                                              field("source", source)});
    } else {
        common::log_info("endpoint_limit_ended", {field("endpoint", endpoint), field("source", source)});
    }
}

/// The limits that may be passed on, the latest first. With `only_news`, those of which the other hosts have
/// not been notified; they count as notified afterwards.
limit_records take_limits(gateway_state& state, bool only_news) {
    const auto now = monotonic::now();
    limit_records records;
    const std::lock_guard guard(state.endpoints.mutex);
    for (const auto& [id, it] : state.endpoints.set.by_id) {
        auto& limit = it->limit;
        if (!traffic::is_worth_sharing(limit, now) || (only_news && !limit.is_news)) {
            continue;
        }
        limit.is_news = limit.is_news && !only_news;
        records.emplace_back(traffic::load_key(it->entry), limit.per_second.value_or(-1),
                             static_cast<std::uint32_t>(common::milliseconds_between(limit.told_at, now)));
    }
    std::sort(records.begin(), records.end(), [](const auto& a, const auto& b) { return a.age() < b.age(); });
    records.resize(std::min(records.size(), max_limits_per_notice));
    return records;
}

awaitable<void> notify_host(gateway_state& state, std::string address, limit_records limits) {
    auto* link = state.link.load();
    if (link == nullptr) {
        co_return;
    }
    schema::limit_notice_t message;
    message.host = state.options.host;
    message.limits = std::move(limits);
    common::count(state.metrics, "limit_notices");
    const auto answer = co_await call_host(*link, std::move(address), schema::encode_peer(std::move(message)),
                                           monotonic::now() + notice_timeout);
    if (!answer) {
        common::count(state.metrics, "limit_notices_failed");
    }
}

void spawn_notice(gateway_state& state, const fleet_view& fleet, const std::string& host,
                  limit_records limits) {
    spawn_task(state, state.io.get_executor(), "notify_host",
               notify_host(state, fleet.members.at(host).peer_address, std::move(limits)));
}

/// Sends news to all neighbours. Each of them passes on what is news to it, so that the whole fleet has it
/// after a few rounds.
awaitable<void> notify_neighbours(gateway_state& state) {
    net::steady_timer timer(state.io);
    co_await wait_until(timer, monotonic::now() + news_interval);
    state.limit_notice_pending = false;
    const auto limits = take_limits(state, true);
    const auto fleet = current_fleet(state);
    if (limits.empty()) {
        co_return;
    }
    for (const auto& it : traffic::neighbours_of(fleet->members, state.options.host)) {
        spawn_notice(state, *fleet, it, limits);
    }
}

void send_news(gateway_state& state) {
    if (!state.limit_notice_pending.exchange(true)) {
        spawn_task(state, state.io.get_executor(), "notify_neighbours", notify_neighbours(state),
                   [&state] { state.limit_notice_pending = false; });
    }
}

/// Reports a limit that is no number; what is known of the endpoint's limit stays.
void note_unreadable(gateway_state& state, std::string_view endpoint, std::string_view text) {
    common::count(state.metrics, "endpoint_limits_unreadable");
    if (may_log(state)) {
        common::log_warning("endpoint_limit_unreadable",
                            {field("endpoint", endpoint), field("value", text.substr(0, max_logged_value))});
    }
}

/// Whether a response without a limit says that the endpoint has none any more. It doesn't if the endpoint
/// turned the request away or failed.
bool says_no_limit(const header_names& names, const http::response_header<>& head) {
    return head.result_int() < first_server_error && head.find(names.not_run) == head.end();
}

} // namespace

void note_limit_in_head(gateway_state& state, const traffic::endpoint_ptr& endpoint,
                        const http::response_header<>& head) {
    const auto& names = state.options.headers;
    // A misdirected request was answered by another endpoint, which has taken over the address.
    if (names.limit.empty() || head.result_int() < first_final_status ||
        head.result_int() == status_misdirected) {
        return;
    }
    const auto found = head.find(names.limit);
    const auto text = found == head.end() ? std::string_view() : to_view(found->value());
    const auto named = parse_endpoint_limit(text);
    const bool is_unreadable = found != head.end() && !named;
    if (!named && !is_unreadable && !says_no_limit(names, head)) {
        return;
    }
    bool is_news = false;
    std::string id;
    {
        const std::lock_guard guard(state.endpoints.mutex);
        is_news = !is_unreadable && traffic::note_named_limit(endpoint->limit, named, monotonic::now());
        id = endpoint->entry.id;
    }
    if (is_unreadable) {
        note_unreadable(state, id, text);
    } else if (is_news) {
        log_news(id, named, "answer");
        send_news(state);
    }
}

awaitable<void> share_limits(gateway_state& state) {
    net::steady_timer timer(state.io);
    std::shared_ptr<const fleet_view> neighbours_of;
    std::vector<std::string> neighbours;
    std::size_t next = 0;
    while (true) {
        co_await wait_until(timer, monotonic::now() + sharing_interval);
        auto limits = take_limits(state, false);
        if (limits.empty()) {
            continue;
        }
        const auto fleet = current_fleet(state);
        if (neighbours_of != fleet) {
            neighbours = traffic::neighbours_of(fleet->members, state.options.host);
            neighbours_of = fleet;
        }
        if (!neighbours.empty()) {
            spawn_notice(state, *fleet, neighbours[next++ % neighbours.size()], std::move(limits));
        }
    }
}

schema::bytes handle_limit_notice(gateway_state& state, const schema::limit_notice_t& received) {
    const auto now = monotonic::now();
    std::unordered_map<std::uint64_t, const schema::endpoint_limit_record*> by_endpoint;
    for (const auto& it : received.limits) {
        by_endpoint[it.endpoint()] = &it;
    }
    std::vector<std::pair<std::string, std::optional<double>>> news;
    {
        const std::lock_guard guard(state.endpoints.mutex);
        for (const auto& [id, it] : state.endpoints.set.by_id) {
            const auto found = by_endpoint.find(traffic::load_key(it->entry));
            if (found == by_endpoint.end()) {
                continue;
            }
            const auto limit = traffic::valid_limit(found->second->per_second());
            if (traffic::note_shared_limit(it->limit, limit, now - milliseconds{found->second->age()}, now)) {
                news.emplace_back(id, limit);
            }
        }
    }
    for (const auto& [id, limit] : news) {
        log_news(id, limit, "host");
    }
    if (!news.empty()) {
        send_news(state);
    }
    return schema::encode_peer(schema::limit_notice_answer_t{});
}

} // namespace lycheegap::gateway
