#pragma once

#include <condition_variable>
#include <cstdint>
#include <deque>
#include <map>
#include <set>
#include <string>
#include <string_view>

#include "core/common/clock.h"
#include "core/common/ranked_mutex.h"
#include "core/transport/http_message.h"

namespace lycheegap::stand_ins {

/// A key with its value, or an entry of the change history.
struct platform_item {
    std::string key;
    std::string value;
    std::uint64_t revision{0};
    /// Revision that created the key.
    std::uint64_t create_revision{0};
    /// The key is deleted when this lease ends; 0 for none.
    std::uint64_t lease{0};
    /// Marks a deletion in the history.
    bool removed{false};
};

struct platform_lease {
    common::milliseconds ttl{0};
    common::time_point expires_at;
};

/// Faults that tests inject through `set_faults` or /control.
struct platform_faults {
    /// Every call gets status 503.
    bool outage{false};
    /// Leases expire during an outage; otherwise they are suspended for its length.
    bool leases_run{false};
    /// Watches report no changes. Tests set it before they drop the history, so that a watcher misses
    /// changes.
    bool suppresses_events{false};
    /// Calls take effect, but the responses come after the client timeout.
    bool loses_answers{false};
    /// Range reads return the first page, whatever they ask for.
    bool repeats_pages{false};
    /// Delay before every call.
    int delay_ms{0};
    /// Client IP addresses whose calls get status 503.
    std::set<std::string, std::less<>> refused_ips{};
};

/// What the store loses when it comes back from an older copy.
struct platform_contents {
    std::map<std::string, platform_item, std::less<>> items;
    /// Changes in the order of their revisions.
    std::deque<platform_item> history;
    /// Changes up to this revision have been dropped from the history.
    std::uint64_t compacted_revision{1};
    std::uint64_t revision{1};
    std::map<std::uint64_t, platform_lease> leases;
};

/// State of the stand-in for the users' platform store, guarded by `mutex`.
struct platform_store : platform_contents {
    common::ranked_mutex mutex{common::lock_rank::leaf};
    std::condition_variable_any changed;
    /// Copy from which the store comes back.
    platform_contents copy;
    /// Rises each time that the store comes back from a copy. In the header Store-Era of all answers.
    std::uint64_t era{1};
    std::uint64_t next_lease{1};
    /// Largest number of items in a response to a range read.
    std::size_t page_items{500};
    platform_faults faults;
    std::uint64_t calls{0};
    bool stopping{false};
};

/// Handles one HTTP request: the platform's calls for ranges, watches, leases and transactions. A query that
/// is not percent-encoded gets 400.
/// /operator?key= writes (POST) or removes (DELETE) a key.
/// /control?outage=&leases_run=&loses_answers=&delay_ms=&page_items=&refuse=&accept=&drop_history=&keep_copy=
/// &restore= sets faults.
transport::http_response serve_platform_store(platform_store& store, const transport::http_request& request);

/// Writes a key, reserved ones included, as an operator or an endpoint does; returns the new revision.
std::uint64_t put_item(platform_store& store, std::string_view key, std::string_view value,
                       std::uint64_t lease = 0);
void remove_item(platform_store& store, std::string_view key);
/// Drops the change history, so that a watch from an older revision gets status 410.
void drop_history(platform_store& store);
/// Keeps a copy of the contents.
void keep_copy(platform_store& store);
/// Brings the contents back to the copy: later writes are gone, leases too, and their revisions are given out
/// again.
void restore_copy(platform_store& store);
/// Sets the largest number of items in a response to a range read.
void set_page_items(platform_store& store, std::size_t items);
/// Replaces all faults. Ending an outage renews all leases unless the new faults set `leases_run`.
void set_faults(platform_store& store, platform_faults faults);

/// Ends all waits, so that the handlers return.
void stop_platform_store(platform_store& store);

} // namespace lycheegap::stand_ins
