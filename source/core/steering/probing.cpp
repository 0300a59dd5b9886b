#include "probing.h"

#include "core/common/digest.h"

namespace lycheegap::steering {

namespace {

std::uint64_t prober_score(std::string_view endpoint_address, std::string_view host) {
    return common::stable_hash(endpoint_address, common::stable_hash(host));
}

} // namespace

std::size_t prober_rank(std::string_view endpoint_address, std::string_view host,
                        const membership::generation& current) {
    const auto* self = membership::find_member(current, host);
    if (self == nullptr || self->leaving) {
        return current.members.size();
    }
    const auto own_score = prober_score(endpoint_address, host);
    std::size_t rank = 0;
    for (const auto& it : current.members) {
        const bool ranks_before = !it.leaving && prober_score(endpoint_address, it.name) > own_score;
        rank += ranks_before ? 1 : 0;
    }
    return rank;
}

bool is_probe_due(std::size_t rank, common::time_point last_shared_at, common::milliseconds interval,
                  common::time_point now) {
    return now >= last_shared_at + interval * static_cast<std::int64_t>(rank + 1);
}

} // namespace lycheegap::steering
