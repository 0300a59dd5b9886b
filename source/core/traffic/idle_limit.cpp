#include "idle_limit.h"

#include <algorithm>

namespace lycheegap::traffic {

namespace {

using common::milliseconds;

// A closure bounds the use of idle connections for this time; then longer rests are tried again.
constexpr milliseconds closure_memory{12'000};
// A survivor shows for this time that endpoints keep connections as long.
constexpr milliseconds survivor_memory{2000};
// A connection of any age may be closed at the moment of use; below this rest a new one is no safer.
constexpr milliseconds shortest_sure_rest{150};
// An endpoint closed a connection at some time before it was found closed, and its timer goes on while the
// next request is in transit.
constexpr int sure_divisor = 2;

bool is_remembered(const idle_closure& it, common::time_point now) {
    return now - it.found_at < closure_memory;
}

} // namespace

void note_idle_closed(idle_limit& limit, std::uint64_t endpoint, milliseconds rest, common::time_point now) {
    std::erase_if(limit.closures, [&](const idle_closure& it) {
        return !is_remembered(it, now) || (it.endpoint == endpoint && it.rest >= rest);
    });
    if (limit.closures.size() == max_idle_closures) {
        limit.closures.erase(limit.closures.begin());
    }
    limit.closures.push_back({endpoint, rest, now});
}

void note_idle_survived(idle_limit& limit, milliseconds rest, common::time_point now) {
    if (now - limit.survived_at >= survivor_memory || rest >= limit.survived) {
        limit.survived = rest;
        limit.survived_at = now;
    }
}

milliseconds longest_sure_rest(const idle_limit& limit, common::time_point now) {
    auto sure = now - limit.survived_at < survivor_memory ? limit.survived / sure_divisor : milliseconds{0};
    for (const auto& it : limit.closures) {
        if (is_remembered(it, now)) {
            sure = std::min(sure, it.rest / sure_divisor);
        }
    }
    return std::max(sure, shortest_sure_rest);
}

bool has_evidence(const idle_limit& limit, common::time_point now) {
    return now - limit.survived_at < survivor_memory ||
           std::any_of(limit.closures.begin(), limit.closures.end(),
                       [&](const idle_closure& it) { return is_remembered(it, now); });
}

} // namespace lycheegap::traffic
