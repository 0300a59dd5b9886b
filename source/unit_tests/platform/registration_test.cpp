#include "platform/registration.h"

#include <set>
#include <vector>

#include <doctest/doctest.h>

#include "following_fleet.h"
#include "platform/names.h"

namespace lycheegap::platform {

namespace {

using common::boot_clock;
using common::milliseconds;

constexpr milliseconds ttl{4000};
constexpr milliseconds interval{1333};

/// A write that the store has not done yet.
struct scripted_write {
    std::uint64_t lease{0};
    std::uint64_t expected{0};
};

/// The store as far as it concerns one entry.
struct scripted_store {
    std::uint64_t revision{10};
    std::uint64_t last_lease{0};
    std::set<std::uint64_t> leases;
    entry_state entry;

    std::uint64_t grant() {
        leases.insert(++last_lease);
        return last_lease;
    }

    /// False when the condition or the lease does not hold.
    bool write(const scripted_write& it) {
        if (it.expected != entry.revision || !leases.contains(it.lease)) {
            return false;
        }
        entry = {.revision = ++revision, .lease = it.lease};
        return true;
    }

    void end(std::uint64_t lease) {
        leases.erase(lease);
        if (entry.lease == lease) {
            entry = {};
            ++revision;
        }
    }
};

/// The host and the store, with the steps of the host played one at a time.
struct scripted_host {
    scripted_store store;
    registration it;
    boot_clock::time_point now{milliseconds(100'000)};
    std::vector<scripted_write> unanswered;

    registration_step step() const {
        return next_step(it, now);
    }

    void obtain_lease() {
        note_lease(it, store.grant(), now, ttl, interval);
    }

    void renew() {
        if (store.leases.contains(it.lease)) {
            note_lease(it, it.lease, now, ttl, interval);
        } else {
            note_lease_ended(it);
        }
    }

    /// Writes the entry; the answer is lost, and the store may do the write later.
    void write_unanswered() {
        unanswered.push_back({it.lease, it.replaces});
        now += milliseconds(1900);
    }

    void write() {
        if (store.write({it.lease, it.replaces})) {
            note_written(it, store.revision);
        } else if (store.leases.contains(it.lease)) {
            note_conflict(it, store.entry);
        } else {
            note_lease_ended(it);
        }
    }

    void do_late_writes() {
        for (const auto& one : unanswered) {
            store.write(one);
        }
        unanswered.clear();
    }

    /// Plays the host until nothing is due; at most ten steps.
    void settle() {
        for (int n = 0; n < 10; ++n) {
            const auto due = step();
            if (due == registration_step::obtain_lease) {
                obtain_lease();
            } else if (due == registration_step::renew_lease) {
                renew();
            } else if (due == registration_step::write_entry) {
                write();
            }
        }
    }

    bool is_registered() const {
        return step() == registration_step::wait && it.confirmed == store.entry.revision &&
               store.entry.lease == it.lease && store.leases.contains(it.lease);
    }
};

} // namespace

TEST_CASE("an unanswered write that is done late ties the entry to no other lease than the one in use") {
    for (const bool before_next_write : {true, false}) {
        CAPTURE(before_next_write);
        scripted_host host;
        host.obtain_lease();
        REQUIRE(host.step() == registration_step::write_entry);
        host.write_unanswered();
        if (before_next_write) {
            host.do_late_writes();
        }
        host.settle();
        host.do_late_writes();
        CHECK(host.is_registered());
        CHECK(host.store.last_lease == 1);
    }
}

TEST_CASE("a write that is done after its lease has ended does not hold off the new registration") {
    scripted_host host;
    host.obtain_lease();
    host.write_unanswered();
    host.store.end(host.it.lease);
    host.settle();
    host.do_late_writes();
    CHECK(host.is_registered());
    CHECK(host.it.lease == 2);
}

TEST_CASE("a host that starts again takes over the entry of its former process") {
    scripted_host host;
    host.store.write({host.store.grant(), 0});
    host.settle();
    CHECK(host.is_registered());
    host.store.end(1);
    CHECK(host.is_registered());
}

TEST_CASE("a host whose entry is gone or under another lease writes it again, but not for an old copy") {
    scripted_host host;
    host.settle();
    const auto written = host.it.confirmed;
    CHECK_FALSE(note_copy(host.it, {}, written - 1));
    CHECK_FALSE(note_copy(host.it, host.store.entry, written));
    CHECK(host.is_registered());

    host.store.entry = {.revision = ++host.store.revision, .lease = host.store.grant()};
    CHECK(note_copy(host.it, host.store.entry, host.store.revision));
    CHECK(host.step() == registration_step::write_entry);
    host.settle();
    CHECK(host.is_registered());

    host.store.entry = {};
    CHECK(note_copy(host.it, {}, ++host.store.revision));
    host.settle();
    CHECK(host.is_registered());
}

TEST_CASE("an entry that is not confirmed is written between renewals that are not answered") {
    scripted_host host;
    host.obtain_lease();
    host.write_unanswered();
    REQUIRE(host.step() == registration_step::renew_lease);
    note_not_renewed(host.it, host.now, interval);
    host.now += interval;
    CHECK(host.step() == registration_step::write_entry);
}

TEST_CASE("a host registers again when its entry in the store is removed or taken over") {
    in_process_fleet fleet(1);
    const auto& host = *fleet.hosts.front();
    const auto key = std::string(host_prefix) + host.name;
    REQUIRE(holds_within(10'000, [&] { return member_count(host) == 1; }));
    const auto lease_of_entry = [&] {
        const std::lock_guard guard(fleet.store.mutex);
        const auto found = fleet.store.items.find(key);
        return found == fleet.store.items.end() ? std::uint64_t{0} : found->second.lease;
    };
    const auto lease = lease_of_entry();
    stand_ins::remove_item(fleet.store, key);
    CHECK(holds_within(10'000, [&] { return lease_of_entry() == lease; }));
    stand_ins::put_item(fleet.store, key, "{}", 0);
    CHECK(holds_within(10'000, [&] { return lease_of_entry() == lease; }));
}

} // namespace lycheegap::platform
