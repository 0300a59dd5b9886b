#include "lookup_table.h"

#include "core/allowance/home.h"
#include "core/steering/lookup.h"
#include "core/transport/lookup_codec.h"

namespace lycheegap::host {

namespace {

constexpr std::size_t hosts_per_answer = 4;
// Callers of a host that fails go to this many different next hosts.
constexpr std::size_t seeds_per_host = 2;

struct named_place {
    std::string_view region;
    std::string_view failure_domain;
};

void name_places(lookup_book& book, std::vector<named_place>& places) {
    places.push_back({});
    book.team_regions.emplace("", 0);
    for (const auto& it : book.members->members) {
        if (book.place_by_region.emplace(it.region, places.size()).second) {
            places.push_back({it.region, {}});
            book.team_regions.emplace(it.region, book.team_regions.size());
        }
        if (book.place_by_domain.emplace(it.failure_domain, places.size()).second) {
            places.push_back({it.region, it.failure_domain});
        }
    }
}

void name_team_regions(lookup_book& book) {
    for (const auto& [name, team] : book.configuration->teams) {
        if (const auto* home = allowance::home_of(name, *book.members)) {
            book.region_by_team.emplace(name, book.team_regions.at(home->region));
        }
    }
}

std::vector<std::string> answers_for(const membership::generation& source,
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

std::size_t number_of(const std::map<std::string, std::size_t, std::less<>>& source, std::string_view name) {
    const auto it = source.find(name);
    return it == source.end() ? 0 : it->second;
}

} // namespace

lookup_book make_lookup_book(std::shared_ptr<const membership::generation> members,
                             std::shared_ptr<const catalog::configuration> configuration) {
    lookup_book book;
    book.members = std::move(members);
    book.configuration = std::move(configuration);
    std::vector<named_place> places;
    name_places(book, places);
    name_team_regions(book);
    book.answers.resize(places.size());
    for (std::size_t n = 0; n < places.size(); ++n) {
        book.answers[n].resize(book.team_regions.size());
        for (const auto& [team_region, number] : book.team_regions) {
            const steering::caller_place place{places[n].region, places[n].failure_domain, team_region};
            book.answers[n][number] = answers_for(*book.members, place);
        }
    }
    return book;
}

std::string_view find_answer(const lookup_book& book, std::string_view region,
                             std::string_view failure_domain, std::string_view team, std::uint64_t seed) {
    if (book.answers.empty()) {
        return {};
    }
    auto place = number_of(book.place_by_domain, failure_domain);
    if (place == 0) {
        place = number_of(book.place_by_region, region);
    }
    const auto& answers = book.answers[place][number_of(book.region_by_team, team)];
    return answers.empty() ? std::string_view{} : std::string_view(answers[seed % answers.size()]);
}

} // namespace lycheegap::host
