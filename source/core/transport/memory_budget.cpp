#include "memory_budget.h"

#include <algorithm>

namespace lycheegap::transport {

bool may_hold(const memory_use& use) {
    // Without the share, one endless body would use up the budget and end the messages of other callers.
    return use.used <= use.limit ||
           (use.used <= use.hard_limit && use.held <= use.limit / std::max<std::int64_t>(use.holders, 1));
}

memory_reservation::~memory_reservation() {
    trim_memory(*this, 0);
}

bool reserve_memory(memory_reservation& reservation, std::size_t bytes) {
    auto* budget = reservation.budget;
    const auto wanted = static_cast<std::int64_t>(bytes);
    if (budget == nullptr || wanted <= reservation.held) {
        return true;
    }
    const auto before = reservation.held;
    if (before == 0) {
        ++budget->holders;
    }
    reservation.held = wanted;
    const auto used = budget->used += wanted - before;
    if (may_hold({.limit = budget->limit,
                  .used = used,
                  .held = wanted,
                  .holders = budget->holders,
                  .hard_limit = budget->hard_limit})) {
        return true;
    }
    trim_memory(reservation, static_cast<std::size_t>(before));
    return false;
}

void trim_memory(memory_reservation& reservation, std::size_t bytes) {
    const auto wanted = static_cast<std::int64_t>(bytes);
    if (reservation.budget == nullptr || wanted >= reservation.held) {
        return;
    }
    reservation.budget->used -= reservation.held - wanted;
    reservation.held = wanted;
    if (wanted == 0) {
        --reservation.budget->holders;
    }
}

} // namespace lycheegap::transport
