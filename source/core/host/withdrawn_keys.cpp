#include "withdrawn_keys.h"

#include <algorithm>
#include <mutex>

#include "core/common/digest.h"
#include "core/common/log.h"
#include "core/schema/peer_codec.h"
#include "host_state.h"

namespace lycheegap::host {

namespace {

using common::milliseconds;
using common::monotonic;

/// A host that has joined waits at most this many authority lengths for other members' withdrawn keys.
constexpr int max_wait_authority_lengths = 2;
constexpr auto exchange_timeout = milliseconds(1000);

std::vector<std::string> held_digests(host_state& host) {
    const std::lock_guard guard(host.control.mutex);
    return {host.control.withdrawn.begin(), host.control.withdrawn.end()};
}

/// Whether this hash is the one that the member last reported for its withdrawn keys.
bool has_reported(const host_state& host, const std::string& name, std::uint64_t hash) {
    const auto reported = host.control.withdrawn_hashes.find(name);
    return reported != host.control.withdrawn_hashes.end() && reported->second == hash;
}

std::size_t count_agreeing_members(const host_state& host, std::uint64_t hash) {
    std::size_t n = 0;
    for (const auto& it : host.control.current->members.members) {
        n += it.name != host.self.name && has_reported(host, it.name, hash) ? 1 : 0;
    }
    return n;
}

schema::bytes encode_digests(host_state& host) {
    schema::withdrawn_keys_t keys;
    keys.host = host.self.name;
    keys.incarnation = host.self.incarnation;
    keys.digests = held_digests(host);
    return schema::encode_peer(std::move(keys));
}

void merge_digests(host_state& host, std::span<const std::string> digests, const std::string& from) {
    add_withdrawn(host, digests);
    const std::lock_guard guard(host.control.mutex);
    // Both sides hold the same digests only when the other side sent all that are held here.
    const bool same =
        std::all_of(host.control.withdrawn.begin(), host.control.withdrawn.end(), [&](const std::string& it) {
            return std::find(digests.begin(), digests.end(), it) != digests.end();
        });
    if (same) {
        record_withdrawn_hash(host, from, withdrawn_hash(host));
    }
}

void handle_reply(host_state& host, schema::byte_view answer, const std::string& address) {
    const auto decoded = schema::decode<schema::peer_message>(answer, address);
    const auto* keys = decoded ? decoded->body.Aswithdrawn_keys_answer() : nullptr;
    if (keys != nullptr) {
        merge_digests(host, keys->digests, keys->host);
    }
}

} // namespace

std::uint64_t withdrawn_hash(const host_state& host) {
    const auto& table = host.control;
    std::uint64_t hash = 0;
    for (const auto& it : table.withdrawn) {
        hash ^= common::stable_hash(it);
    }
    for (const auto& it : table.current->configuration.withdrawn_digests) {
        hash ^= table.withdrawn.contains(it) ? 0 : common::stable_hash(it);
    }
    return hash;
}

void record_withdrawn_hash(host_state& host, std::string_view name, std::uint64_t hash) {
    auto& table = host.control;
    table.withdrawn_hashes.insert_or_assign(std::string(name), hash);
    table.changed.notify_all();
    update_knows_withdrawn(host);
}

void update_knows_withdrawn(host_state& host) {
    const auto& table = host.control;
    if (table.joined_at == common::time_point()) {
        return;
    }
    const auto others = std::max<std::size_t>(table.current->members.members.size(), 1) - 1;
    const bool agreed = count_agreeing_members(host, withdrawn_hash(host)) * 2 >= others;
    // Members that are gone must not keep this host from serving for ever.
    const auto max_wait = authority_length(host) * max_wait_authority_lengths;
    if (agreed || monotonic::now() - table.joined_at > max_wait) {
        const std::lock_guard guard(host.authority.mutex);
        host.authority.knows_withdrawn = true;
    }
}

void add_withdrawn(host_state& host, std::span<const std::string> digests) {
    const std::lock_guard guard(host.control.mutex);
    const auto before = host.control.withdrawn.size();
    host.control.withdrawn.insert(digests.begin(), digests.end());
    if (host.control.withdrawn.size() != before) {
        publish_control(host);
        common::log_info("keys_withdrawn", {common::field("held", host.control.withdrawn.size())});
    }
}

void exchange_withdrawn(host_state& host, const std::string& address) {
    const auto reply = [&host, address](std::optional<schema::bytes> answer) {
        if (answer) {
            host.workers->submit(
                [&host, address, bytes = std::move(*answer)] { handle_reply(host, bytes, address); });
        }
    };
    host.peers->call(address, encode_digests(host), monotonic::now() + exchange_timeout, reply);
}

void broadcast_withdrawn(host_state& host) {
    const auto control = current_control(host);
    for (const auto& it : control->members.members) {
        if (it.name != host.self.name) {
            exchange_withdrawn(host, it.peer_address);
        }
    }
}

schema::bytes handle_withdrawn_keys(host_state& host, const schema::withdrawn_keys_t& message) {
    merge_digests(host, message.digests, message.host);
    schema::withdrawn_keys_answer_t answer;
    answer.host = host.self.name;
    answer.incarnation = host.self.incarnation;
    answer.digests = held_digests(host);
    return schema::encode_peer(std::move(answer));
}

std::vector<std::string> unstored_withdrawn(host_state& host) {
    const std::lock_guard guard(host.control.mutex);
    const auto& stored = host.control.current->configuration.withdrawn_digests;
    std::vector<std::string> unstored;
    for (const auto& it : host.control.withdrawn) {
        if (std::find(stored.begin(), stored.end(), it) == stored.end()) {
            unstored.push_back(it);
        }
    }
    return unstored;
}

withdrawal_progress wait_for_withdrawal(host_state& host, common::time_point deadline) {
    std::unique_lock guard(host.control.mutex);
    while (true) {
        const auto hash = withdrawn_hash(host);
        withdrawal_progress progress{1, {}};
        for (const auto& it : host.control.current->members.members) {
            if (it.name == host.self.name) {
                continue;
            }
            if (has_reported(host, it.name, hash)) {
                ++progress.hosts_in_force;
            } else {
                progress.waiting_for.push_back(it.name);
            }
        }
        if (progress.waiting_for.empty() || monotonic::now() >= deadline) {
            return progress;
        }
        host.control.changed.wait_until(guard, deadline);
    }
}

} // namespace lycheegap::host
