#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <string_view>
#include <vector>

#include "core/common/clock.h"

namespace lycheegap::traffic {

// What requests cost at an endpoint, learned from the times of their answers. An endpoint that has an object
// cached answers in a fraction of the time, so each class of requests has two costs, and the share of cached
// answers is learned by the rank that the endpoint has for the object.

/// What the work of a request depends on.
struct work_kind {
    std::string_view service;
    std::string_view route;
    /// Object that the request refers to; empty if there is none.
    std::string_view object_key;
    std::size_t body_bytes{0};
    /// Response time that callers expect; 0 if the route states none. The expected work follows from it until
    /// answers have been measured.
    common::milliseconds target_latency{0};
};

/// Ranks of an object's endpoints that are told apart; `ranked_endpoints` stands for all others.
inline constexpr std::size_t ranked_endpoints = 4;

/// Expected work of one request at an endpoint of usual speed, without waiting and distance.
struct expected_work {
    /// Mean time in ms at an endpoint that has the object cached, and at one that has not.
    double cached_ms{0};
    double uncached_ms{0};
    /// Probability, from 0 to 1, that the endpoint has the object cached.
    double cached_probability{0};
    /// Standard deviation of both times in ms.
    double deviation_ms{0};
};

/// Mean time in ms by the probability that the object is cached.
double mean_ms(const expected_work& it);

/// An answered request that did not wait at its endpoint.
struct work_sample {
    work_kind kind;
    /// Time in ms at an endpoint of usual speed.
    double run_ms{0};
    /// Rank of the endpoint for the object.
    std::size_t rank{0};
};

/// How an answer was classified by its time.
enum class answer_class : std::uint8_t {
    /// The class of requests has no objects, or too few answers to tell.
    unknown,
    cached,
    uncached,
};

inline constexpr std::size_t work_bins = 48;

/// Costs of the requests of one route, service and size class of the body.
struct work_class {
    std::uint64_t key{0};
    bool has_objects{false};
    /// Order of the last use, for eviction.
    std::uint64_t last_use{0};
    /// Weights of the measured times, by bins of equal width in the logarithm of the time; halved from time
    /// to time.
    std::array<float, work_bins> weights{};
    float total_weight{0};
    double cached_ms{0};
    double uncached_ms{0};
    double deviation_ms{0};
    /// Answers at most as long count as cached.
    double threshold_ms{0};
    std::uint32_t samples{0};
    /// Share of cached answers by rank.
    std::array<double, ranked_endpoints + 1> cached_share{};
};

/// What is known about one object.
struct object_costs {
    /// 0: the entry is free.
    std::uint64_t key{0};
    std::uint64_t last_use{0};
    /// Logarithm of the object's time relative to its class.
    float relative_log{0};
    /// Share of cached answers and number of answers (up to a limit) by rank.
    std::array<float, ranked_endpoints> cached_share{};
    std::array<std::uint8_t, ranked_endpoints> answers{};
};

/// Limits of the tables; the least recently used entry is replaced.
inline constexpr std::size_t max_work_classes = 64;
inline constexpr std::size_t max_objects = 2048;

/// All learned costs of one host.
struct work_costs {
    std::vector<work_class> classes;
    /// Sets of a few entries each; allocated on first use.
    std::vector<object_costs> objects;
    std::uint64_t uses{0};
};

/// Expected work of a request by the rank of its endpoint.
struct work_forecast {
    double cached_ms{0};
    double uncached_ms{0};
    double deviation_ms{0};
    std::array<double, ranked_endpoints + 1> cached_probability{};
};

/// Expected work at all ranks. Requests without an object have one cost.
work_forecast forecast_work(work_costs& costs, const work_kind& kind);

/// Expected work at an endpoint with this rank for the object.
expected_work expect_work(work_costs& costs, const work_kind& kind, std::size_t rank);
expected_work work_at_rank(const work_forecast& forecast, std::size_t rank);

/// Learns from an answer and returns its classification.
answer_class note_work(work_costs& costs, const work_sample& sample);

} // namespace lycheegap::traffic
