#pragma once

#include <condition_variable>
#include <deque>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "core/common/clock.h"
#include "core/common/ranked_mutex.h"
#include "core/membership/acceptance.h"
#include "core/membership/control_state.h"
#include "core/membership/relays.h"
#include "core/schema/codec.h"

namespace lycheegap::host {

struct host_state;

/// A version of the control record and when this host received it.
struct received_version {
    std::shared_ptr<const membership::control_state> state;
    /// Wall clock in ms since 1970.
    std::int64_t received_at_ms{0};
};

/// Shared table of the control record, which holds the fleet's catalog and generation. The catalog,
/// membership and endpoint tables are filled from it.
struct control_table {
    common::ranked_mutex mutex{common::lock_rank::control_table};
    /// Notified when a version is confirmed or accepted, or a member reports its withdrawn keys.
    std::condition_variable_any changed;
    /// The newest version seen; never null, never goes back.
    std::shared_ptr<const membership::control_state> current{std::make_shared<membership::control_state>()};
    /// `current` as it is encoded in the store.
    schema::bytes encoded;
    /// The store's revision of the value that was last read from it or written to it.
    std::uint64_t store_revision{0};
    /// Version that the store last reported as its newest, and when the store was asked.
    std::uint64_t store_confirmed_version{0};
    common::time_point store_confirmation_asked_at;
    /// The newest version known to be accepted; null before the first.
    std::shared_ptr<const membership::control_state> accepted;
    /// Which members hold which versions.
    std::vector<membership::confirmation> confirmations;
    /// Last report of each member on the members that do not answer it, by the reporting member's name.
    std::map<std::string, membership::silence_report, std::less<>> silence_reports;
    /// Most recent versions, oldest first.
    std::deque<received_version> history;
    /// Version that is being fetched from a peer, until `fetch_deadline`.
    std::uint64_t fetching_version{0};
    common::time_point fetch_deadline;
    /// Digests of withdrawn keys, whether or not the store holds them yet.
    std::set<std::string> withdrawn;
    /// Hash of its withdrawn digests that each member reported last, by the member's name.
    std::map<std::string, std::uint64_t, std::less<>> withdrawn_hashes;
    /// When this host first saw each incarnation as a member.
    std::map<std::uint64_t, common::time_point> first_seen;
    /// When this host first saw itself as a member.
    common::time_point joined_at;
};

/// Newest version of the control record seen; never null.
std::shared_ptr<const membership::control_state> current_control(host_state& host);

/// Adopts a version received from the store or a peer and sends heartbeats that report it. False when it is
/// not newer than the current one.
bool adopt_control(host_state& host, membership::control_state fresh, schema::bytes encoded);

/// Updates the catalog, membership and endpoint tables from the control record. The caller holds the control
/// table's lock.
void publish_control(host_state& host);

/// Time for which an authority holds after it was granted or extended.
common::milliseconds authority_length(const host_state& host);

/// Logs this thread's last failure reason as the warning `event`.
void log_last_reason(std::string_view event);

} // namespace lycheegap::host
