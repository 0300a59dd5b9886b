#include "home.h"

#include <cstdint>

#include "core/common/digest.h"

namespace lycheegap::allowance {

const membership::member* find_home(std::string_view team, const membership::generation& current) {
    const membership::member* best = nullptr;
    std::uint64_t best_score = 0;
    for (const auto& it : current.members) {
        const auto score = common::stable_hash(team, common::stable_hash(it.name));
        if (best == nullptr || score > best_score) {
            best = &it;
            best_score = score;
        }
    }
    return best;
}

} // namespace lycheegap::allowance
