#include "home_tenure.h"

namespace lycheegap::allowance {

std::optional<home_tenure> find_tenure(std::span<const home_period> periods) {
    home_tenure tenure;
    bool is_home = false;
    bool may_act = false;
    for (const auto& it : periods) {
        const bool continues = is_home && it.generation == tenure.last_generation + 1;
        is_home = it.is_home;
        if (!is_home || !continues) {
            tenure.first_generation = it.generation;
            may_act = false;
        }
        tenure.last_generation = it.generation;
        // Until a generation of the tenure is accepted the home before may still act.
        if (is_home && it.accepted && !may_act) {
            may_act = true;
            tenure.since = it.accepted_at;
        }
    }
    return is_home && may_act ? std::optional(tenure) : std::nullopt;
}

} // namespace lycheegap::allowance
