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

/// A version of the control record and when this host took it.
struct taken_version {
    std::shared_ptr<const membership::control_state> state;
    /// Wall clock in ms since 1970.
    std::int64_t taken_at_ms{0};
};

/// Shared table of what the hosts agree on. Catalog and generation tables are filled from it.
struct control_table {
    common::ranked_mutex mutex{common::lock_rank::control_table};
    /// Wakes those who wait for an acceptance or for confirmations of withdrawn keys.
    std::condition_variable_any changed;
    /// The newest version seen; never null, never goes back.
    std::shared_ptr<const membership::control_state> current{std::make_shared<membership::control_state>()};
    /// `current` as it stands in the store.
    schema::bytes encoded;
    /// The store's revision of the value that was last read from it or written to it.
    std::uint64_t store_revision{0};
    /// The store's word that `word_version` was current when it was asked.
    std::uint64_t word_version{0};
    common::time_point word_asked_at;
    /// The newest version known to be accepted; null before the first.
    std::shared_ptr<const membership::control_state> accepted;
    std::vector<membership::confirmation> confirmations;
    std::map<std::string, membership::silence_report, std::less<>> silence_reports;
    /// Versions taken last, oldest first.
    std::deque<taken_version> history;
    /// Version that is being fetched from a peer, until `fetch_deadline`.
    std::uint64_t fetching{0};
    common::time_point fetch_deadline;
    /// Withdrawn key digests, stored or not yet.
    std::set<std::string> withdrawn;
    /// Members that hold the same withdrawn digests, by the hash they told.
    std::map<std::string, std::uint64_t, std::less<>> withdrawn_hashes;
    /// When this host first saw each member's incarnation.
    std::map<std::uint64_t, common::time_point> first_seen;
    /// First moment at which this host was a member.
    common::time_point joined_at;
};

/// Newest version seen; never null.
std::shared_ptr<const membership::control_state> current_control(host_state& host);

/// Takes a version that the store or a peer told. False when it is not newer. Tells the others.
bool take_control(host_state& host, membership::control_state fresh, schema::bytes encoded);

/// Fills the catalog and generation tables. The caller holds the control table's lock.
void publish_control(host_state& host);

/// Length of an authority.
common::milliseconds authority_length(const host_state& host);

/// One warning with this thread's last reason.
void log_last_reason(std::string_view event);

} // namespace lycheegap::host
