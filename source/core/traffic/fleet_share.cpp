#include "fleet_share.h"

#include <algorithm>

#include "core/common/digest.h"

namespace lycheegap::traffic {

bool has_share(const membership_knowledge& knowledge, std::string_view endpoint_id, std::size_t sharing,
               common::time_point now) {
    const auto* fleet = knowledge.fleet;
    if (fleet == nullptr || now >= knowledge.valid_until || !fleet->member_since ||
        now < *fleet->member_since + handover_time) {
        return false;
    }
    const auto seed = common::stable_hash(endpoint_id);
    const auto own = common::stable_hash(knowledge.host, seed);
    const auto ranks_before = [&](std::string_view name) {
        return name != knowledge.host && common::stable_hash(name, seed) > own;
    };
    const auto members = std::count_if(fleet->names.begin(), fleet->names.end(), ranks_before);
    const auto former = std::count_if(fleet->former.begin(), fleet->former.end(), [&](const auto& it) {
        return now < it.left_at + handover_time && ranks_before(it.name);
    });
    return static_cast<std::size_t>(members + former) < sharing;
}

} // namespace lycheegap::traffic
