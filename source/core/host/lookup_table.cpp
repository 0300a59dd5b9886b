#include "lookup_table.h"

#include "core/allowance/home.h"
#include "core/steering/lookup.h"
#include "core/transport/lookup_codec.h"

namespace lycheegap::host {

namespace {

constexpr std::size_t hosts_per_answer = 4;
// Each host comes first in this many answers, so that its callers spread over as many next hosts when it
// fails.
constexpr std::size_t seeds_per_host = 2;

struct cached_place {
    std::string_view region;
    std::string_view failure_domain;
};

void index_places(lookup_cache& cache, std::vector<cached_place>& places) {
    places.push_back({});
    cache.team_regions.emplace("", 0);
    for (const auto& it : cache.members->members) {
        if (cache.place_by_region.emplace(it.region, places.size()).second) {
            places.push_back({it.region, {}});
            cache.team_regions.emplace(it.region, cache.team_regions.size());
        }
        if (cache.place_by_domain.emplace(it.failure_domain, places.size()).second) {
            places.push_back({it.region, it.failure_domain});
        }
    }
}

void index_team_regions(lookup_cache& cache) {
    for (const auto& [name, team] : cache.configuration->teams) {
        if (const auto* home = allowance::find_home(name, *cache.members)) {
            cache.region_by_team.emplace(name, cache.team_regions.at(home->region));
        }
    }
}

std::vector<std::string> prepare_answers(const membership::generation& source,
                                         const steering::caller_place& place) {
    std::vector<std::string> answers;
    const auto seeds = steering::count_nearest(source, place) * seeds_per_host;
    answers.reserve(seeds);
    for (std::size_t seed = 0; seed < seeds; ++seed) {
        const auto choices = steering::order_hosts(source, place, seed, hosts_per_answer);
        answers.push_back(transport::encode_lookup_hosts(choices));
    }
    return answers;
}

std::size_t index_or_zero(const std::map<std::string, std::size_t, std::less<>>& source,
                          std::string_view name) {
    const auto it = source.find(name);
    return it == source.end() ? 0 : it->second;
}

} // namespace

lookup_cache make_lookup_cache(std::shared_ptr<const membership::generation> members,
                               std::shared_ptr<const catalog::configuration> configuration) {
    lookup_cache cache;
    cache.members = std::move(members);
    cache.configuration = std::move(configuration);
    std::vector<cached_place> places;
    index_places(cache, places);
    index_team_regions(cache);
    cache.answers.resize(places.size());
    for (std::size_t n = 0; n < places.size(); ++n) {
        cache.answers[n].resize(cache.team_regions.size());
        for (const auto& [team_region, number] : cache.team_regions) {
            const steering::caller_place place{places[n].region, places[n].failure_domain, team_region};
            cache.answers[n][number] = prepare_answers(*cache.members, place);
        }
    }
    return cache;
}

std::string_view find_answer(const lookup_cache& cache, std::string_view region,
                             std::string_view failure_domain, std::string_view team, std::uint64_t seed) {
    if (cache.answers.empty()) {
        return {};
    }
    auto place = index_or_zero(cache.place_by_domain, failure_domain);
    if (place == 0) {
        place = index_or_zero(cache.place_by_region, region);
    }
    const auto& answers = cache.answers[place][index_or_zero(cache.region_by_team, team)];
    return answers.empty() ? std::string_view{} : std::string_view(answers[seed % answers.size()]);
}

} // namespace lycheegap::host
