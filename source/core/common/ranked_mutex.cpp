#include "ranked_mutex.h"

#include <cstdio>
#include <cstdlib>
#include <vector>

namespace lycheegap::common {

namespace {

std::vector<lock_rank>& held_ranks() {
    thread_local std::vector<lock_rank> ranks;
    return ranks;
}

void check_and_record_rank([[maybe_unused]] lock_rank wanted) {
#ifdef LYCHEEGAP_CHECK_LOCK_RANKS
    for (const auto held : held_ranks()) {
        if (!may_lock(held, wanted)) {
            std::fprintf(stderr, "event=lock_order_broken held=%d wanted=%d\n", static_cast<int>(held),
                         static_cast<int>(wanted));
            std::abort();
        }
    }
    held_ranks().push_back(wanted);
#endif
}

void forget_rank([[maybe_unused]] lock_rank released) {
#ifdef LYCHEEGAP_CHECK_LOCK_RANKS
    auto& ranks = held_ranks();
    for (auto it = ranks.rbegin(); it != ranks.rend(); ++it) {
        if (*it == released) {
            ranks.erase(std::next(it).base());
            return;
        }
    }
#endif
}

} // namespace

ranked_mutex::ranked_mutex(lock_rank rank) : rank_(rank) {}

void ranked_mutex::lock() {
    check_and_record_rank(rank_);
    mutex_.lock();
}

void ranked_mutex::unlock() {
    mutex_.unlock();
    forget_rank(rank_);
}

bool ranked_mutex::try_lock() {
    if (!mutex_.try_lock()) {
        return false;
    }
    check_and_record_rank(rank_);
    return true;
}

} // namespace lycheegap::common
