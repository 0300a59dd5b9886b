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

/// Hash over all withdrawn digests that this host holds, stored or not. The caller holds the control table's
/// lock.
std::uint64_t withdrawn_hash(const host_state& host);

/// Notes the hash that another host told; opens keyed routes once enough hold the same digests. The caller
/// holds the control table's lock.
void note_withdrawn_hash(host_state& host, std::string_view name, std::uint64_t hash);

/// Puts the withdrawal of keys in force here at once.
void add_withdrawn(host_state& host, std::span<const std::string> digests);

/// Sends this host's digests to the host at `address` and takes those it answers with.
void exchange_withdrawn(host_state& host, const std::string& address);

/// Sends this host's digests to all members.
void spread_withdrawn(host_state& host);

/// Takes another host's digests and answers with this host's.
schema::bytes answer_withdrawn(host_state& host, const schema::withdrawn_keys_t& message);

/// Digests that the control record does not hold as withdrawn yet.
std::vector<std::string> unstored_withdrawn(host_state& host);

/// Where the withdrawals that this host knows are in force.
struct withdrawal_reach {
    int hosts_in_force{0};
    std::vector<std::string> waiting_for;
};

/// Waits until all members hold the same digests, at the longest until `deadline`.
withdrawal_reach wait_for_withdrawal(host_state& host, common::time_point deadline);

} // namespace lycheegap::host
