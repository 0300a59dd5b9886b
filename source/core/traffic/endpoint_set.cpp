#include "endpoint_set.h"

#include <algorithm>
#include <cmath>

namespace lycheegap::traffic {

namespace {

// Reports of other hosts' load fade to a third in this time: an endpoint that is not used tells nothing.
constexpr double report_fade_s = 1.0;
// Reports are smoothed over this time: single ones show chance, their mean shows a crowded endpoint.
constexpr double report_smoothing_s = 0.25;
// First pause for an endpoint that failed; it doubles with each further failure in a row.
constexpr common::milliseconds first_avoidance{250};
constexpr common::milliseconds longest_avoidance{4000};
// Entries that lapse for a while return within a few seconds.
constexpr common::milliseconds memory_time{10'000};
// When this part of a domain's endpoints turn cold within a moment, something has happened to the domain, and
// the entries of its other endpoints are late.
constexpr double turned_cold_part = 0.25;
constexpr std::size_t least_turned_cold = 2;
constexpr common::milliseconds turned_cold_time{1000};

void add_to_service(endpoint_set& set, const endpoint_ptr& it) {
    set.by_service[it->entry.service].push_back(it);
}

void drop_from_service(endpoint_set& set, const endpoint_ptr& it) {
    auto& all = set.by_service[it->entry.service];
    std::erase(all, it);
}

bool is_same_endpoint(const endpoint_entry& a, const endpoint_entry& b) {
    return a.born == b.born && a.address == b.address && a.service == b.service;
}

void remember(endpoint_set& set, const endpoint_state& it, common::time_point now) {
    set.gone[it.entry.id] = {it.entry.born, it.cold, it.cold_sends,
                             std::max(now + memory_time, it.cold.until)};
}

/// Takes over what is known of an endpoint from before. Another start under the same id ends the cold time,
/// but not what was sent.
void recall(endpoint_set& set, endpoint_state& it, common::time_point now) {
    const auto found = set.gone.find(it.entry.id);
    if (found == set.gone.end()) {
        return;
    }
    it.cold_sends = std::move(found->second.cold_sends);
    if (found->second.born == it.entry.born && found->second.cold.until > now) {
        it.cold = found->second.cold;
    }
    set.gone.erase(found);
}

std::size_t size_of_domain(const endpoint_set& set, std::string_view domain) {
    const auto in_domain = [&](const auto& it) { return it.second->entry.domain == domain; };
    return static_cast<std::size_t>(std::count_if(set.by_id.begin(), set.by_id.end(), in_domain));
}

/// Counts all endpoints of a domain as cold.
void note_cold_domain(endpoint_set& set, std::string_view domain, common::time_point until,
                      cold_source source, common::time_point now) {
    auto& known = set.cold_domains[std::string(domain)];
    known = std::max(known, until);
    for (const auto& [id, it] : set.by_id) {
        if (it->entry.domain == domain && it->cold.until < until) {
            note_cold(it->cold, until, source, 0, now, true);
        }
    }
}

/// Notes that an endpoint in use has turned cold, and concludes on its domain when many do.
void note_turned_cold(endpoint_set& set, const endpoint_state& it, common::time_point now) {
    const auto& domain = it.entry.domain;
    const auto known = set.cold_domains.find(domain);
    if (known != set.cold_domains.end() && known->second >= it.cold.until) {
        return;
    }
    auto& turned = set.turned_cold[domain];
    turned.moments.push_back(now);
    const auto count = count_in(turned, now, turned_cold_time);
    const auto part = turned_cold_part * static_cast<double>(size_of_domain(set, domain));
    if (count >= least_turned_cold && static_cast<double>(count) >= part) {
        note_cold_domain(set, domain, it.cold.until, cold_source::domain, now);
    }
}

/// Takes in what an entry, and the past of its domain, say of the endpoint's cold time.
void take_cold_time(const endpoint_set& set, endpoint_state& it, const endpoint_entry& entry,
                    common::time_point now, bool in_use) {
    note_cold(it.cold, now + entry.cold_for, cold_source::entry, entry.revision, now, in_use);
    const auto domain = set.cold_domains.find(entry.domain);
    if (domain != set.cold_domains.end() && domain->second > it.cold.until) {
        note_cold(it.cold, domain->second, cold_source::vacated, 0, now, in_use);
    }
}

} // namespace

endpoint_change put_endpoint(endpoint_set& set, endpoint_entry entry, common::time_point now) {
    const auto found = set.by_id.find(entry.id);
    if (found != set.by_id.end() && is_same_endpoint(found->second->entry, entry)) {
        auto& known = *found->second;
        const auto cold_before = known.cold.until;
        take_cold_time(set, known, entry, now, true);
        const bool changed = known.entry.leaving != entry.leaving || known.entry.slots != entry.slots ||
                             known.entry.domain != entry.domain || known.removal_due.has_value() ||
                             known.cold.until > cold_before;
        known.entry = std::move(entry);
        known.removal_due.reset();
        if (cold_before <= now && known.cold.until > now) {
            note_turned_cold(set, known, now);
        }
        return changed ? endpoint_change::updated : endpoint_change::none;
    }
    const bool replaces = found != set.by_id.end();
    if (replaces) {
        remember(set, *found->second, now);
        drop_from_service(set, found->second);
    }
    const auto made = std::make_shared<endpoint_state>();
    made->entry = std::move(entry);
    recall(set, *made, now);
    take_cold_time(set, *made, made->entry, now, replaces);
    set.by_id[made->entry.id] = made;
    add_to_service(set, made);
    return replaces ? endpoint_change::replaced : endpoint_change::added;
}

bool remove_endpoint(endpoint_set& set, std::string_view id, common::time_point now) {
    const auto found = set.by_id.find(id);
    if (found == set.by_id.end()) {
        return false;
    }
    remember(set, *found->second, now);
    drop_from_service(set, found->second);
    set.by_id.erase(found);
    return true;
}

bool remove_endpoint_later(endpoint_set& set, std::string_view id, common::time_point due) {
    const auto found = set.by_id.find(id);
    if (found == set.by_id.end()) {
        return false;
    }
    if (!found->second->removal_due) {
        found->second->removal_due = due;
    }
    return true;
}

std::vector<std::string> expire_endpoints(endpoint_set& set, common::time_point now) {
    std::vector<std::string> gone;
    for (const auto& [id, it] : set.by_id) {
        if (it->removal_due && *it->removal_due <= now) {
            gone.push_back(id);
        }
    }
    for (const auto& id : gone) {
        remove_endpoint(set, id, now);
    }
    std::erase_if(set.gone, [&](const auto& it) { return it.second.forget_at <= now; });
    std::erase_if(set.cold_domains, [&](const auto& it) { return it.second <= now; });
    return gone;
}

void set_vacated(endpoint_set& set, std::string_view domain, bool vacated, common::time_point now,
                 common::milliseconds cold_time) {
    if (vacated) {
        set.vacated_domains.emplace(domain);
        return;
    }
    const auto found = set.vacated_domains.find(domain);
    if (found != set.vacated_domains.end()) {
        set.vacated_domains.erase(found);
    }
    note_cold_domain(set, domain, now + cold_time, cold_source::vacated, now);
}

bool is_cold(const endpoint_state& it, common::time_point now) {
    return it.cold.until > now;
}

bool accepts_work(const endpoint_set& set, const endpoint_state& it) {
    return !it.entry.leaving && !set.vacated_domains.contains(it.entry.domain);
}

double estimated_load(const endpoint_state& it, common::time_point now) {
    const double own = it.in_flight;
    if (!it.others) {
        return own;
    }
    const double age = std::max(0.0, common::seconds_between(it.others->at, now));
    return own + it.others->requests * std::exp(-age / report_fade_s);
}

void note_report(endpoint_state& it, const load_report& report, common::time_point now) {
    // The answered request has left the endpoint; it is still in flight here.
    const double seen = std::max(0, report.running + report.waiting - std::max(0, it.in_flight - 1));
    if (!it.others) {
        it.others = foreign_load{seen, now};
        return;
    }
    const double age = std::max(0.0, common::seconds_between(it.others->at, now));
    const double weight = 1 - std::exp(-std::max(age, 0.01) / report_smoothing_s);
    it.others->requests += (seen - it.others->requests) * weight;
    it.others->at = now;
}

void note_sent(endpoint_state& it, common::time_point now) {
    ++it.in_flight;
    if (!it.silent_since) {
        it.silent_since = now;
    }
}

void note_ended(endpoint_state& it, bool heard, common::time_point now) {
    --it.in_flight;
    if (it.in_flight <= 0) {
        // With nothing out, silence tells nothing; what ended unheard is counted as a failure or not at all.
        it.silent_since.reset();
    } else if (heard) {
        it.silent_since = now;
    }
}

void note_answer(endpoint_state& it) {
    it.failures_in_row = 0;
    it.avoided_until = {};
}

void note_failure(endpoint_state& it, common::time_point now) {
    const auto pause = first_avoidance * (1 << std::min(it.failures_in_row, 6));
    ++it.failures_in_row;
    it.avoided_until = now + std::min<common::milliseconds>(pause, longest_avoidance);
}

} // namespace lycheegap::traffic
