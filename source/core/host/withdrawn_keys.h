#pragma once

#include <cstdint>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "core/common/clock.h"
#include "core/schema/codec.h"
#include "core/schema/generated/peer_membership_generated.h"

namespace lycheegap::host {

struct host_state;

/// Hash, independent of their order, over the digests of all withdrawn keys that this host holds, stored or
/// not. The caller holds the control table's lock.
std::uint64_t withdrawn_hash(const host_state& host);

/// Records the hash that another host reported. The caller holds the control table's lock.
void record_withdrawn_hash(host_state& host, std::string_view name, std::uint64_t hash);

/// Allows requests with keys once at least half of the other members hold the same digests, or a bounded wait
/// after joining is over. The caller holds the control table's lock.
void update_knows_withdrawn(host_state& host);

/// Applies the withdrawal of keys on this host at once.
void add_withdrawn(host_state& host, std::span<const std::string> digests);

/// Sends this host's digests to the host at `address` and adds those that it answers with.
void exchange_withdrawn(host_state& host, const std::string& address);

/// Exchanges digests with all other members.
void broadcast_withdrawn(host_state& host);

/// Adds another host's digests and answers with this host's.
schema::bytes handle_withdrawn_keys(host_state& host, const schema::withdrawn_keys_t& message);

/// Withdrawn digests that the control record does not hold yet.
std::vector<std::string> unstored_withdrawn(host_state& host);

/// On how many hosts the withdrawals that this host knows are in force, and the members that have not
/// reported them.
struct withdrawal_progress {
    int hosts_in_force{0};
    std::vector<std::string> waiting_for;
};

/// Waits until all members hold the same digests, at most until `deadline`.
withdrawal_progress wait_for_withdrawal(host_state& host, common::time_point deadline);

} // namespace lycheegap::host
