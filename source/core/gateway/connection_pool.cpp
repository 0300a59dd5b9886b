#include "connection_pool.h"

#include <algorithm>
#include <mutex>

#include <fmt/format.h>

#include "core/common/digest.h"
#include "core/common/log.h"

namespace lycheegap::gateway {

namespace {

using common::field;
using common::milliseconds;
using common::monotonic;

// Idle connections in the pool for each endpoint.
constexpr std::size_t max_idle_per_endpoint = 8;
// A connection that the endpoint had closed fails within a round trip; later failures come from the work.
constexpr milliseconds longest_detection{600};

/// Key of an endpoint's pool. Includes the start time, so that an endpoint that takes over an id or an
/// address does not get connections of its predecessor.
std::string pool_key(const traffic::endpoint_entry& entry) {
    return fmt::format("{}/{}/{}", entry.address, entry.id, entry.started_unix_ms);
}

milliseconds rest_of(const endpoint_connection& it, common::time_point now) {
    return std::chrono::duration_cast<milliseconds>(now - it.idle_since);
}

/// Takes the connection that was used last, if it is young enough. An older one stays for requests that may
/// be repeated; one that is closed or out of time moves to `stale`.
connection_ptr take_idle(std::vector<connection_ptr>& idle, const traffic::endpoint_entry& entry,
                         traffic::idle_limit& limit, bool idempotent, std::vector<connection_ptr>& stale) {
    const auto now = monotonic::now();
    while (!idle.empty()) {
        auto last = idle.back();
        const auto rest = rest_of(*last, now);
        const bool is_sure = idempotent || rest < traffic::longest_sure_rest(limit, now);
        if (!is_sure && last->reusable_until > now) {
            return nullptr;
        }
        idle.pop_back();
        if (last->reusable_until <= now) {
            stale.push_back(last);
        } else if (!is_open_and_idle(*last)) {
            traffic::note_idle_closed(limit, common::stable_hash(entry.id), rest, now);
            stale.push_back(last);
        } else {
            return last;
        }
    }
    return nullptr;
}

connection_ptr take_pooled_connection(gateway_state& state, const traffic::endpoint_entry& entry,
                                      bool idempotent) {
    std::vector<connection_ptr> stale;
    connection_ptr taken;
    {
        const std::lock_guard guard(state.connections.mutex);
        const auto found = state.connections.idle.find(pool_key(entry));
        if (found != state.connections.idle.end() && !found->second.empty()) {
            taken =
                take_idle(found->second, entry, state.connections.limits[entry.service], idempotent, stale);
        }
    }
    std::for_each(stale.begin(), stale.end(), close_on_strand);
    return taken;
}

} // namespace

void close_on_strand(const connection_ptr& it) {
    net::post(it->strand, [it] { it->stream.close(); });
}

connection_ptr acquire_connection(gateway_state& state, const traffic::endpoint_entry& entry,
                                  bool idempotent) {
    if (auto kept = take_pooled_connection(state, entry, idempotent)) {
        common::count(state.metrics, "endpoint_connections_kept");
        return kept;
    }
    auto made = std::make_shared<endpoint_connection>(net::make_strand(state.io));
    made->peer = entry.address;
    common::count(state.metrics, "endpoint_connections");
    return made;
}

void release_connection(gateway_state& state, const traffic::endpoint_entry& entry,
                        const connection_ptr& it) {
    if (!it->reusable) {
        return;
    }
    it->idle_since = monotonic::now();
    const std::lock_guard guard(state.connections.mutex);
    auto& idle = state.connections.idle[pool_key(entry)];
    if (idle.size() == max_idle_per_endpoint) {
        close_on_strand(idle.front());
        idle.erase(idle.begin());
    }
    idle.push_back(it);
}

void note_kept_exchange(gateway_state& state, const traffic::endpoint_entry& entry, const kept_exchange& it) {
    const bool survived = it.outcome == exchange_outcome::answered;
    const bool was_closed =
        (it.outcome == exchange_outcome::lost || it.outcome == exchange_outcome::not_sent) &&
        it.ended_by == exchange_end::endpoint && it.length < longest_detection;
    if (!survived && !was_closed) {
        return;
    }
    const auto now = monotonic::now();
    milliseconds sure{0};
    {
        const std::lock_guard guard(state.connections.mutex);
        auto& limit = state.connections.limits[entry.service];
        if (survived) {
            traffic::note_idle_survived(limit, it.rest, now);
            return;
        }
        traffic::note_idle_closed(limit, common::stable_hash(entry.id), it.rest, now);
        sure = traffic::longest_sure_rest(limit, now);
    }
    common::count(state.metrics, "endpoint_connections_lost_idle");
    if (may_log(state)) {
        common::log_info("idle_connection_lost",
                         {field("endpoint", entry.id), field("service", entry.service),
                          field("rest_ms", it.rest.count()), field("sure_ms", sure.count())});
    }
}

void prune_endpoint_connections(gateway_state& state) {
    const auto now = monotonic::now();
    std::vector<connection_ptr> stale;
    {
        const std::lock_guard guard(state.connections.mutex);
        for (auto at = state.connections.idle.begin(); at != state.connections.idle.end();) {
            auto& idle = at->second;
            const auto first = std::stable_partition(
                idle.begin(), idle.end(), [&](const auto& it) { return it->reusable_until > now; });
            stale.insert(stale.end(), first, idle.end());
            idle.erase(first, idle.end());
            at = idle.empty() ? state.connections.idle.erase(at) : std::next(at);
        }
        std::erase_if(state.connections.limits,
                      [&](const auto& it) { return !traffic::has_evidence(it.second, now); });
    }
    std::for_each(stale.begin(), stale.end(), close_on_strand);
}

} // namespace lycheegap::gateway
