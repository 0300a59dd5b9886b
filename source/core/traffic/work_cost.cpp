#include "work_cost.h"

#include <algorithm>
#include <bit>
#include <cmath>
#include <span>

#include "core/common/digest.h"

namespace lycheegap::traffic {

namespace {

// Lower edge of the first bin, and the ratio between the edges of a bin. The last bin ends near 90 s.
constexpr double first_bin_ms = 2;
constexpr double bin_ratio = 1.25;
// The weights are halved when their sum reaches this, so that the costs follow a change within a few hundred
// answers.
constexpr float max_weight = 400;
// Answers between two computations of the costs.
constexpr std::uint32_t samples_per_update = 8;
// A class has two costs if their ratio is at least this and each has at least the share of the answers.
constexpr double min_cost_ratio = 1.8;
constexpr double min_cost_share = 0.03;
// Costs assumed before there are answers: an object that is not cached takes longer than callers expect.
constexpr double uncached_per_target = 1.2;
constexpr double cached_per_uncached = 0.35;
constexpr double default_target_ms = 500;
// Measured times beyond this multiple of the uncached cost are clamped.
constexpr double max_time_factor = 8;
// Bodies of up to this size are one class; each further class doubles the size.
constexpr unsigned int first_body_bits = 12;
constexpr std::size_t max_size_classes = 14;

// Least probability by rank: requests for one object stay together even while few answers are cached, since
// that is what makes further answers cached.
constexpr std::array<double, ranked_endpoints + 1> least_share = {0.6, 0.4, 0.25, 0.15, 0};
// Share of cached answers by rank before there are answers.
constexpr std::array<double, ranked_endpoints + 1> initial_share = {0.85, 0.6, 0.35, 0.2, 0.1};
constexpr double share_weight = 0.05;
// Answers after which the shares of one object count as much as those of its class.
constexpr double share_prior_answers = 3;
constexpr std::uint8_t max_counted_answers = 12;

constexpr std::size_t objects_per_set = 4;
constexpr float relative_weight = 0.2F;
constexpr float max_relative_log = 0.7F;

std::size_t size_class(std::size_t body_bytes) {
    const auto bits = static_cast<std::size_t>(std::bit_width(body_bytes >> first_body_bits));
    return body_bytes == 0 ? 0 : std::min(bits + 1, max_size_classes);
}

std::uint64_t class_key(const work_kind& kind) {
    const auto seed = size_class(kind.body_bytes) * 2 + (kind.object_key.empty() ? 0 : 1);
    return common::stable_hash(kind.route, common::stable_hash(kind.service, seed));
}

std::uint64_t object_key(const work_kind& kind, std::uint64_t class_seed) {
    // 0 marks a free entry.
    return common::stable_hash(kind.object_key, class_seed) | 1U;
}

std::size_t bin_of(double ms) {
    static const double log_ratio = std::log(bin_ratio);
    const double bin = std::log(std::max(ms, first_bin_ms) / first_bin_ms) / log_ratio;
    return std::min(static_cast<std::size_t>(bin), work_bins - 1);
}

std::array<double, work_bins> make_bin_times() {
    std::array<double, work_bins> times{};
    double edge = first_bin_ms;
    for (auto& it : times) {
        it = edge * std::sqrt(bin_ratio);
        edge *= bin_ratio;
    }
    return times;
}

/// Geometric middle of each bin in ms.
std::span<const double> bin_times() {
    static const auto times = make_bin_times();
    return times;
}

/// Weight, mean and variance of the times in a range of bins.
struct bin_summary {
    double weight{0};
    double mean_ms{0};
    double variance{0};
};

bin_summary summarize(const work_class& it, std::size_t first, std::size_t last) {
    bin_summary sum;
    const auto times = bin_times();
    for (auto n = first; n < last; ++n) {
        const double weight = it.weights[n];
        sum.weight += weight;
        sum.mean_ms += weight * times[n];
        sum.variance += weight * times[n] * times[n];
    }
    if (sum.weight > 0) {
        sum.mean_ms /= sum.weight;
        sum.variance = std::max(0.0, sum.variance / sum.weight - sum.mean_ms * sum.mean_ms);
    }
    return sum;
}

/// First bin of the upper of two groups, by the largest variance between the groups in the logarithm of the
/// time (Otsu's method).
std::size_t best_split(const work_class& it) {
    double all_weight = 0;
    double all_sum = 0;
    for (std::size_t n = 0; n < work_bins; ++n) {
        all_weight += it.weights[n];
        all_sum += it.weights[n] * static_cast<double>(n);
    }
    std::size_t best = 0;
    double best_variance = 0;
    double weight = 0;
    double sum = 0;
    for (std::size_t n = 1; n < work_bins; ++n) {
        weight += it.weights[n - 1];
        sum += it.weights[n - 1] * static_cast<double>(n - 1);
        if (weight <= 0 || weight >= all_weight) {
            continue;
        }
        const double distance = sum / weight - (all_sum - sum) / (all_weight - weight);
        const double variance = weight * (all_weight - weight) * distance * distance;
        // In a gap all splits are equal; the first one is next to the lower group.
        if (variance > best_variance * (1 + 1e-9)) {
            best_variance = variance;
            best = n;
        }
    }
    return best;
}

/// Sets both costs from answers that all belong to one group: the one whose known cost is closer.
void apply_one_group(work_class& it, const bin_summary& all) {
    const bool is_cached = all.mean_ms < std::sqrt(it.cached_ms * it.uncached_ms);
    const double ratio = it.uncached_ms / it.cached_ms;
    it.cached_ms = is_cached ? all.mean_ms : all.mean_ms / ratio;
    it.uncached_ms = is_cached ? all.mean_ms * ratio : all.mean_ms;
}

void update_costs(work_class& it) {
    const auto all = summarize(it, 0, work_bins);
    it.deviation_ms = std::sqrt(all.variance);
    if (!it.has_objects) {
        it.cached_ms = it.uncached_ms = all.mean_ms;
        return;
    }
    const auto split = best_split(it);
    const auto lower = summarize(it, 0, split);
    const auto upper = summarize(it, split, work_bins);
    const double least_weight = min_cost_share * all.weight;
    if (lower.weight < least_weight || upper.weight < least_weight ||
        upper.mean_ms < lower.mean_ms * min_cost_ratio) {
        apply_one_group(it, all);
    } else {
        it.cached_ms = lower.mean_ms;
        it.uncached_ms = upper.mean_ms;
        it.deviation_ms =
            std::sqrt((lower.variance * lower.weight + upper.variance * upper.weight) / all.weight);
    }
    it.threshold_ms = std::sqrt(it.cached_ms * it.uncached_ms);
}

work_class make_class(const work_kind& kind, std::uint64_t key) {
    const auto target = static_cast<double>(kind.target_latency.count());
    work_class made;
    made.key = key;
    made.has_objects = !kind.object_key.empty();
    made.uncached_ms = (target > 0 ? target : default_target_ms) * uncached_per_target;
    made.cached_ms = made.has_objects ? made.uncached_ms * cached_per_uncached : made.uncached_ms;
    made.deviation_ms = made.cached_ms / 2;
    made.threshold_ms = std::sqrt(made.cached_ms * made.uncached_ms);
    made.cached_share = initial_share;
    return made;
}

/// The class of a request; replaces the least recently used one if the table is full.
work_class& class_of(work_costs& costs, const work_kind& kind) {
    const auto key = class_key(kind);
    auto found = std::find_if(costs.classes.begin(), costs.classes.end(),
                              [&](const work_class& it) { return it.key == key; });
    if (found == costs.classes.end()) {
        if (costs.classes.size() < max_work_classes) {
            costs.classes.push_back(make_class(kind, key));
            found = std::prev(costs.classes.end());
        } else {
            found = std::min_element(
                costs.classes.begin(), costs.classes.end(),
                [](const work_class& a, const work_class& b) { return a.last_use < b.last_use; });
            *found = make_class(kind, key);
        }
    }
    found->last_use = ++costs.uses;
    return *found;
}

/// The entries that may hold an object.
std::span<object_costs> set_of(work_costs& costs, std::uint64_t key) {
    costs.objects.resize(max_objects);
    const auto sets = max_objects / objects_per_set;
    const auto first = (key >> 1U) % sets * objects_per_set;
    return std::span(costs.objects).subspan(first, objects_per_set);
}

/// The entry of an object, or null.
const object_costs* find_object(work_costs& costs, std::uint64_t key) {
    const auto set = set_of(costs, key);
    const auto found =
        std::find_if(set.begin(), set.end(), [&](const object_costs& it) { return it.key == key; });
    return found == set.end() ? nullptr : &*found;
}

/// The entry of an object; replaces the least recently used one of its set if there is none.
object_costs& object_of(work_costs& costs, std::uint64_t key) {
    const auto set = set_of(costs, key);
    auto found = std::find_if(set.begin(), set.end(), [&](const object_costs& it) { return it.key == key; });
    if (found == set.end()) {
        found = std::min_element(set.begin(), set.end(), [](const object_costs& a, const object_costs& b) {
            return a.last_use < b.last_use;
        });
        *found = {};
        found->key = key;
    }
    found->last_use = ++costs.uses;
    return *found;
}

/// Probability that an endpoint with this rank has the object cached.
double cached_probability(const work_class& of, const object_costs* object, std::size_t rank) {
    double share = of.cached_share[rank];
    if (object != nullptr && rank < ranked_endpoints) {
        const double answers = object->answers[rank];
        share = (share * share_prior_answers + object->cached_share[rank] * answers) /
                (share_prior_answers + answers);
    }
    return std::max(share, least_share[rank]);
}

void note_share(work_class& of, object_costs& object, std::size_t rank, bool is_cached) {
    const double value = is_cached ? 1 : 0;
    of.cached_share[rank] += (value - of.cached_share[rank]) * share_weight;
    if (rank < ranked_endpoints) {
        auto& answers = object.answers[rank];
        answers = std::min<std::uint8_t>(answers + 1, max_counted_answers);
        object.cached_share[rank] +=
            (static_cast<float>(value) - object.cached_share[rank]) / static_cast<float>(answers);
    }
}

} // namespace

double mean_ms(const expected_work& it) {
    return it.cached_ms * it.cached_probability + it.uncached_ms * (1 - it.cached_probability);
}

work_forecast forecast_work(work_costs& costs, const work_kind& kind) {
    const auto& of = class_of(costs, kind);
    work_forecast made{of.cached_ms, of.uncached_ms, of.deviation_ms, {}};
    if (!of.has_objects) {
        made.cached_probability.fill(1);
        return made;
    }
    const auto* object = find_object(costs, object_key(kind, of.key));
    if (object != nullptr) {
        const double factor = std::exp(object->relative_log);
        made.cached_ms *= factor;
        made.uncached_ms *= factor;
    }
    for (std::size_t rank = 0; rank <= ranked_endpoints; ++rank) {
        made.cached_probability[rank] = cached_probability(of, object, rank);
    }
    return made;
}

expected_work work_at_rank(const work_forecast& forecast, std::size_t rank) {
    return {forecast.cached_ms, forecast.uncached_ms,
            forecast.cached_probability[std::min(rank, ranked_endpoints)], forecast.deviation_ms};
}

expected_work expect_work(work_costs& costs, const work_kind& kind, std::size_t rank) {
    return work_at_rank(forecast_work(costs, kind), rank);
}

answer_class note_work(work_costs& costs, const work_sample& sample) {
    auto& of = class_of(costs, sample.kind);
    const double ms = std::clamp(sample.run_ms, first_bin_ms, of.uncached_ms * max_time_factor);
    of.weights[bin_of(ms)] += 1;
    of.total_weight += 1;
    if (of.total_weight >= max_weight) {
        std::for_each(of.weights.begin(), of.weights.end(), [](float& it) { it /= 2; });
        of.total_weight /= 2;
    }
    ++of.samples;
    if (of.samples % samples_per_update == 0) {
        update_costs(of);
    }
    if (!of.has_objects) {
        return answer_class::unknown;
    }
    const bool is_cached = ms <= of.threshold_ms;
    auto& object = object_of(costs, object_key(sample.kind, of.key));
    note_share(of, object, std::min(sample.rank, ranked_endpoints), is_cached);
    const double usual_ms = is_cached ? of.cached_ms : of.uncached_ms;
    const auto relative = static_cast<float>(std::log(ms / usual_ms));
    object.relative_log +=
        (std::clamp(relative, -max_relative_log, max_relative_log) - object.relative_log) * relative_weight;
    return is_cached ? answer_class::cached : answer_class::uncached;
}

} // namespace lycheegap::traffic
