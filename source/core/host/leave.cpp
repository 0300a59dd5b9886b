#include "leave.h"

#include <algorithm>
#include <mutex>

#include "core/common/last_reason.h"
#include "core/common/log.h"
#include "core/schema/codec.h"
#include "core/schema/generated/membership_generated.h"
#include "core/transport/record_codec.h"
#include "handover.h"
#include "host_state.h"
#include "store_keys.h"

namespace lycheegap::host {

namespace {

using common::field;
using common::milliseconds;
using common::monotonic;

constexpr int mark_attempts = 5;

/// One try to mark this host in the store's generation.
bool try_mark(host_state& host) {
    const auto value = transport::read_value(host.store, generation_key);
    if (!value || value->data.empty()) {
        return false;
    }
    const auto record =
        schema::decode<schema::generation_record>(transport::as_bytes(value->data), host.store.address);
    if (!record) {
        return false;
    }
    const auto current = transport::parse_generation(*record);
    if (!membership::is_member(current, host.self.name, host.self.incarnation)) {
        return false;
    }
    auto leaving = *membership::find_member(current, host.self.name);
    leaving.leaving = true;
    const auto next = membership::with_member(current, leaving);
    const auto encoded = schema::encode<schema::generation_record>(transport::make_record(next));
    const auto text = std::string(transport::as_text(encoded));
    const auto result = transport::compare_and_swap(host.store, generation_key, value->revision, text);
    return result.state == transport::swap_state::written;
}

bool mark_leaving(host_state& host) {
    for (int n = 0; n < mark_attempts; ++n) {
        if (try_mark(host)) {
            return true;
        }
    }
    common::log_warning("leaving_not_marked", {field("reason", common::last_reason().text)});
    return false;
}

/// Waits until nothing runs here, at most until `limit`.
std::size_t wait_until_idle(host_state& host, common::time_point limit) {
    std::unique_lock guard(host.queues.mutex);
    host.queues.changed.wait_until(guard, limit, [&] { return host.queues.busy == 0; });
    return static_cast<std::size_t>(host.queues.busy);
}

void wait_for_answers_to_expire(host_state& host, common::time_point until) {
    std::unique_lock guard(host.queues.mutex);
    while (monotonic::now() < until) {
        host.queues.changed.wait_until(guard, until);
    }
}

} // namespace

void drain_host(host_state& host) {
    const auto& set = *host.settings.callers;
    if (set.drain_time == 0) {
        return;
    }
    const auto began_at = monotonic::now();
    host.leaving = true;
    const bool marked = mark_leaving(host);
    common::log_info("leaving", {field("host", host.self.name), field("marked", marked)});
    wait_for_answers_to_expire(host, began_at + milliseconds(set.drain_time));
    const auto left = wait_until_idle(host, monotonic::now() + milliseconds(set.drain_limit));
    hand_over_outcomes(host);
    common::log_info("drained",
                     {field("host", host.self.name), field("requests_left", left),
                      field("duration_ms", common::milliseconds_between(began_at, monotonic::now()))});
}

} // namespace lycheegap::host
