#include "load_exchange.h"

#include <algorithm>
#include <cmath>
#include <limits>
#include <mutex>

#include "core/schema/peer_codec.h"
#include "core/traffic/load_sharing.h"
#include "fleet_link.h"
#include "task.h"

namespace lycheegap::gateway {

namespace {

using common::milliseconds;
using common::monotonic;
using traffic::shared_load;

// In a smaller fleet a host's own requests show the load of the endpoints often enough.
constexpr std::size_t min_sharing_hosts = 30;
// Partners are in the own region; one that does not answer is asked again at the next interval.
constexpr milliseconds exchange_timeout{250};
constexpr double percent = 100;

std::uint16_t to_field(std::int64_t value) {
    return static_cast<std::uint16_t>(
        std::clamp<std::int64_t>(value, 0, std::numeric_limits<std::uint16_t>::max()));
}

std::vector<schema::shared_load_record> encode_loads(const std::vector<shared_load>& loads,
                                                     common::time_point now) {
    std::vector<schema::shared_load_record> records;
    records.reserve(loads.size());
    for (const auto& it : loads) {
        records.emplace_back(it.endpoint, to_field(it.load.running), to_field(it.load.waiting),
                             to_field(common::milliseconds_between(it.at, now)),
                             to_field(std::lround(it.load.pace.value_or(0) * percent)));
    }
    return records;
}

void apply_loads(gateway_state& state, const std::vector<schema::shared_load_record>& records) {
    const auto now = monotonic::now();
    std::vector<shared_load> loads;
    loads.reserve(records.size());
    for (const auto& it : records) {
        traffic::load_report load{.running = it.running(), .waiting = it.waiting(), .slots = 0, .pace = {}};
        if (it.pace() > 0) {
            load.pace = it.pace() / percent;
        }
        loads.push_back({it.endpoint(), load, now - milliseconds{it.age()}});
    }
    std::size_t applied = 0;
    {
        const std::lock_guard guard(state.endpoints.mutex);
        applied = traffic::apply_shared_loads(state.endpoints.set, loads, now);
    }
    common::count(state.metrics, "loads_applied", applied);
    common::count(state.metrics, "loads_outdated", loads.size() - applied);
}

/// Reports for a host that it has not been sent before.
std::vector<shared_load> loads_for(gateway_state& state, const std::string& host, std::size_t limit,
                                   common::time_point now) {
    const std::lock_guard guard(state.loads.mutex);
    auto& sent = state.loads.sent_until[host];
    auto loads = traffic::loads_since(state.loads.log, sent, now, limit);
    sent = now;
    return loads;
}

awaitable<void> exchange_with(gateway_state& state, std::string partner, std::string address, bool all) {
    auto* link = state.link.load();
    if (link == nullptr) {
        co_return;
    }
    const auto now = monotonic::now();
    schema::load_exchange_t message;
    message.host = state.options.host;
    message.loads = encode_loads(loads_for(state, partner, traffic::max_loads_per_message, now), now);
    message.all = all;
    common::count(state.metrics, "load_exchanges");
    const auto answer =
        co_await call_host(*link, address, schema::encode_peer(std::move(message)), now + exchange_timeout);
    const auto read = answer ? schema::decode<schema::peer_message>(*answer, address) : std::nullopt;
    const auto* loads = read ? read->body.Asload_exchange_answer() : nullptr;
    if (loads == nullptr) {
        common::count(state.metrics, "load_exchanges_failed");
        co_return;
    }
    apply_loads(state, loads->loads);
}

/// Forgets what was sent to hosts that are no longer members.
void forget_former_partners(gateway_state& state, const fleet_view& fleet) {
    const std::lock_guard guard(state.loads.mutex);
    std::erase_if(state.loads.sent_until, [&](const auto& it) { return !fleet.members.contains(it.first); });
}

} // namespace

void keep_load_report(gateway_state& state, const traffic::endpoint_entry& endpoint,
                      const traffic::load_report& report, common::time_point now) {
    const std::lock_guard guard(state.loads.mutex);
    traffic::note_own_load(state.loads.log, {traffic::load_key(endpoint), report, now});
}

awaitable<void> exchange_loads(gateway_state& state) {
    net::steady_timer timer(state.io);
    std::shared_ptr<const fleet_view> partners_of;
    std::vector<std::string> partners;
    bool all = true;
    while (true) {
        co_await wait_until(timer, monotonic::now() + traffic::load_exchange_interval);
        const auto fleet = current_fleet(state);
        if (fleet->members.size() < min_sharing_hosts) {
            continue;
        }
        if (partners_of != fleet) {
            partners = traffic::load_partners(fleet->members, state.options.host);
            partners_of = fleet;
            forget_former_partners(state, *fleet);
        }
        for (const auto& it : partners) {
            spawn_task(state, state.io.get_executor(), "exchange_with",
                       exchange_with(state, it, fleet->members.at(it).peer_address, all));
        }
        all = all && partners.empty();
    }
}

schema::bytes handle_load_exchange(gateway_state& state, const schema::load_exchange_t& received) {
    const auto limit = received.all ? traffic::max_loads_at_start : traffic::max_loads_per_message;
    const auto now = monotonic::now();
    if (!current_fleet(state)->members.contains(received.host)) {
        // Its state could not be dropped again.
        return schema::encode_peer(schema::load_exchange_answer_t{});
    }
    apply_loads(state, received.loads);
    schema::load_exchange_answer_t answer;
    answer.loads = encode_loads(loads_for(state, received.host, limit, now), now);
    return schema::encode_peer(std::move(answer));
}

} // namespace lycheegap::gateway
