#include "home_tenure.h"

namespace lycheegap::allowance {

std::optional<home_tenure> find_tenure(std::span<const home_period> periods) {
    home_tenure tenure;
    bool is_home = false;
    bool is_active = false;
    for (const auto& it : periods) {
        const bool continues = is_home && it.generation == tenure.last_generation + 1;
        is_home = it.is_home;
        if (!is_home || !continues) {
            tenure.first_generation = it.generation;
            is_active = false;
        }
        tenure.last_generation = it.generation;
        // The previous home may still act until a generation of this tenure is accepted.
        if (is_home && it.accepted && !is_active) {
            is_active = true;
            tenure.active_since = it.accepted_at;
        }
    }
    return is_home && is_active ? std::optional(tenure) : std::nullopt;
}

} // namespace lycheegap::allowance
