#include "endpoint_set.h"

#include <algorithm>
#include <cmath>
#include <utility>

#include "core/common/digest.h"

namespace lycheegap::traffic {

namespace {

// Time constant of the decay of reported load. An endpoint that gets no requests sends no reports, so its
// last one must not count forever.
constexpr double load_decay_s = 1.0;
// Time constant for smoothing load reports: a single one varies by chance, the mean shows an overloaded
// endpoint.
constexpr double load_smoothing_s = 0.25;
// Time for which an endpoint is avoided after a failure; it doubles with each consecutive failure.
constexpr common::milliseconds min_avoidance{250};
constexpr common::milliseconds max_avoidance{4000};
// Entries that expire only temporarily return within a few seconds.
constexpr common::milliseconds former_endpoint_retention{10'000};
// An endpoint that is leaving must not be used again when its entry returns, however late.
constexpr common::milliseconds leaving_retention{600'000};
// If this fraction of a failure domain's endpoints, and at least the minimum, turn cold within the window,
// the whole domain is assumed to be affected and the updated entries of its other endpoints to be late.
constexpr double domain_cold_fraction = 0.25;
constexpr std::size_t domain_cold_min_endpoints = 2;
constexpr common::milliseconds domain_cold_window{1000};

endpoint_group& group_of(endpoint_set& set, const endpoint_entry& entry) {
    auto& groups = set.groups[entry.service];
    const auto found = std::find_if(groups.begin(), groups.end(),
                                    [&](const endpoint_group& it) { return it.region == entry.region; });
    if (found != groups.end()) {
        return *found;
    }
    return groups.emplace_back(endpoint_group{entry.region, std::make_shared<group_load>(), {}});
}

void add_to_service(endpoint_set& set, const endpoint_ptr& it) {
    set.by_service[it->entry.service].push_back(it);
    auto& group = group_of(set, it->entry);
    it->group = group.load;
    group.endpoints.push_back(it);
}

void remove_from_service(endpoint_set& set, const endpoint_ptr& it) {
    auto& all = set.by_service[it->entry.service];
    std::erase(all, it);
    std::erase(group_of(set, it->entry).endpoints, it);
}

bool is_same_endpoint(const endpoint_entry& a, const endpoint_entry& b) {
    return a.started_unix_ms == b.started_unix_ms && a.address == b.address && a.service == b.service;
}

/// Keeps the state of an endpoint that is about to be removed or replaced.
void keep_former_state(endpoint_set& set, const endpoint_state& it, common::time_point now) {
    const auto retention = it.wishes.leaving ? leaving_retention : former_endpoint_retention;
    set.former_endpoints[it.entry.id] = {it.entry.started_unix_ms,
                                         it.cold,
                                         it.cold_requests,
                                         it.wishes,
                                         it.limit,
                                         std::max({now + retention, it.cold.until, it.wishes.resting_until})};
}

/// Restores the state of a former endpoint with the same id. The requests sent to it always count; the cold
/// time, its wishes and its limit are restored only if the start time is the same.
void restore_former_state(endpoint_set& set, endpoint_state& it, common::time_point now) {
    const auto found = set.former_endpoints.find(it.entry.id);
    if (found == set.former_endpoints.end()) {
        return;
    }
    it.cold_requests = std::move(found->second.cold_requests);
    if (found->second.started_unix_ms == it.entry.started_unix_ms) {
        it.wishes = found->second.wishes;
        it.limit = found->second.limit;
        if (found->second.cold.until > now) {
            it.cold = found->second.cold;
        }
    }
    set.former_endpoints.erase(found);
}

/// Number of endpoints in a failure domain.
std::size_t endpoints_in_domain(const endpoint_set& set, std::string_view domain) {
    const auto in_domain = [&](const auto& it) { return it.second->entry.domain == domain; };
    return static_cast<std::size_t>(std::count_if(set.by_id.begin(), set.by_id.end(), in_domain));
}

/// Treats all endpoints of a domain as cold until `until`.
void mark_domain_cold(endpoint_set& set, std::string_view domain, common::time_point until,
                      cold_source source, common::time_point now) {
    auto& domain_until = set.cold_domains[std::string(domain)];
    domain_until = std::max(domain_until, until);
    for (const auto& [id, it] : set.by_id) {
        if (it->entry.domain == domain && it->cold.until < until) {
            note_cold(it->cold, until, source, 0, now, true);
        }
    }
}

/// Records that an endpoint in use turned cold. If many endpoints of its domain did so at once, treats the
/// whole domain as cold.
void note_cold_transition(endpoint_set& set, const endpoint_state& it, common::time_point now) {
    const auto& domain = it.entry.domain;
    const auto known = set.cold_domains.find(domain);
    if (known != set.cold_domains.end() && known->second >= it.cold.until) {
        return;
    }
    auto& turned = set.cold_transitions[domain];
    turned.event_times.push_back(now);
    const auto count = count_events(turned, now, domain_cold_window);
    const auto threshold = domain_cold_fraction * static_cast<double>(endpoints_in_domain(set, domain));
    if (count >= domain_cold_min_endpoints && static_cast<double>(count) >= threshold) {
        mark_domain_cold(set, domain, it.cold.until, cold_source::domain, now);
    }
}

/// Smooths the number of other hosts' requests over the reports.
void note_external_load(endpoint_state& endpoint, int requests, common::time_point at) {
    const double seen = std::max(0, requests);
    if (!endpoint.external) {
        endpoint.external = external_load{seen, at};
        return;
    }
    const double age = std::max(0.0, common::seconds_between(endpoint.external->at, at));
    const double weight = 1 - std::exp(-std::max(age, 0.01) / load_smoothing_s);
    endpoint.external->requests += (seen - endpoint.external->requests) * weight;
    endpoint.external->at = at;
}

/// Updates the endpoint's cold time from an entry and from the cold time of its domain.
void apply_cold_time(const endpoint_set& set, endpoint_state& it, const endpoint_entry& entry,
                     common::time_point now, bool in_use) {
    note_cold(it.cold, now + entry.cold_remaining, cold_source::entry, entry.revision, now, in_use);
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
        apply_cold_time(set, known, entry, now, true);
        const bool changed = known.entry.leaving != entry.leaving || known.entry.slots != entry.slots ||
                             known.entry.domain != entry.domain || known.removal_due.has_value() ||
                             known.cold.until > cold_before;
        const bool moves = known.entry.region != entry.region;
        if (moves) {
            remove_from_service(set, found->second);
        }
        known.entry = std::move(entry);
        if (moves) {
            add_to_service(set, found->second);
        }
        known.removal_due.reset();
        if (cold_before <= now && known.cold.until > now) {
            note_cold_transition(set, known, now);
        }
        return changed ? endpoint_change::updated : endpoint_change::none;
    }
    const bool replaces = found != set.by_id.end();
    if (replaces) {
        keep_former_state(set, *found->second, now);
        remove_from_service(set, found->second);
    }
    const auto made = std::make_shared<endpoint_state>();
    made->entry = std::move(entry);
    made->hash = common::stable_hash(made->entry.id);
    restore_former_state(set, *made, now);
    apply_cold_time(set, *made, made->entry, now, replaces);
    set.by_id[made->entry.id] = made;
    add_to_service(set, made);
    return replaces ? endpoint_change::replaced : endpoint_change::added;
}

bool remove_endpoint(endpoint_set& set, std::string_view id, common::time_point now) {
    const auto found = set.by_id.find(id);
    if (found == set.by_id.end()) {
        return false;
    }
    keep_former_state(set, *found->second, now);
    remove_from_service(set, found->second);
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
    std::erase_if(set.former_endpoints, [&](const auto& it) { return it.second.forget_at <= now; });
    std::erase_if(set.cold_domains, [&](const auto& it) { return it.second <= now; });
    return gone;
}

void set_vacated(endpoint_set& set, std::string_view domain, bool vacated, common::time_point now,
                 common::milliseconds cold_time) {
    set.vacating_ends.erase(std::string(domain));
    if (vacated) {
        set.vacated_domains.emplace(domain);
        return;
    }
    const auto found = set.vacated_domains.find(domain);
    if (found != set.vacated_domains.end()) {
        set.vacated_domains.erase(found);
    }
    mark_domain_cold(set, domain, now + cold_time, cold_source::vacated, now);
}

void end_vacating_later(endpoint_set& set, std::string_view domain, common::time_point due) {
    if (set.vacated_domains.contains(domain)) {
        set.vacating_ends.insert_or_assign(std::string(domain), due);
    }
}

std::vector<std::string> take_due_vacating_ends(endpoint_set& set, common::time_point now) {
    std::vector<std::string> due;
    std::erase_if(set.vacating_ends, [&](const auto& it) {
        if (it.second <= now) {
            due.push_back(it.first);
        }
        return it.second <= now;
    });
    return due;
}

bool is_cold(const endpoint_state& endpoint, common::time_point now) {
    return endpoint.cold.until > now;
}

bool accepts_work(const endpoint_set& set, const endpoint_state& endpoint) {
    return !endpoint.entry.leaving && !endpoint.wishes.leaving &&
           !set.vacated_domains.contains(endpoint.entry.domain);
}

bool is_resting(const endpoint_state& endpoint, common::time_point now) {
    return endpoint.wishes.resting_until > now;
}

bool note_leaving(endpoint_state& endpoint) {
    return !std::exchange(endpoint.wishes.leaving, true);
}

void note_rest(endpoint_state& endpoint, common::milliseconds length, common::time_point now) {
    endpoint.wishes.resting_until = std::max(endpoint.wishes.resting_until, now + std::min(length, max_rest));
}

double estimated_load(const endpoint_state& endpoint, common::time_point now) {
    const double own = endpoint.in_flight;
    if (!endpoint.external) {
        return own;
    }
    const double age = std::max(0.0, common::seconds_between(endpoint.external->at, now));
    return own + endpoint.external->requests * std::exp(-age / load_decay_s);
}

void note_report(endpoint_state& endpoint, const load_report& report, common::time_point now) {
    endpoint.last_report = report;
    endpoint.last_report_at = now;
    // The report no longer counts the answered request, but `in_flight` does.
    note_external_load(endpoint, report.running + report.waiting - std::max(0, endpoint.in_flight - 1), now);
}

bool note_shared_load(endpoint_state& endpoint, const load_report& report, common::time_point at) {
    if (at <= endpoint.last_report_at || (endpoint.external && at <= endpoint.external->at)) {
        return false;
    }
    note_external_load(endpoint, report.running + report.waiting - endpoint.in_flight, at);
    return true;
}

void note_sent(endpoint_state& endpoint, common::time_point now) {
    ++endpoint.in_flight;
    if (!endpoint.silent_since) {
        endpoint.silent_since = now;
    }
}

void note_ended(endpoint_state& endpoint, bool answered, common::time_point now) {
    --endpoint.in_flight;
    if (endpoint.in_flight <= 0) {
        // Without requests in flight, no answer is expected. Requests that ended unanswered are recorded by
        // note_failure where they count as failures.
        endpoint.silent_since.reset();
    } else if (answered) {
        endpoint.silent_since = now;
    }
}

bool is_silent_since(const endpoint_state& endpoint, common::time_point sent_at) {
    return endpoint.silent_since && *endpoint.silent_since <= sent_at;
}

void note_success(endpoint_state& endpoint) {
    endpoint.consecutive_failures = 0;
    endpoint.avoided_until = {};
}

void note_failure(endpoint_state& endpoint, common::time_point now) {
    const auto pause = min_avoidance * (1 << std::min(endpoint.consecutive_failures, 6));
    ++endpoint.consecutive_failures;
    endpoint.avoided_until = now + std::min<common::milliseconds>(pause, max_avoidance);
}

} // namespace lycheegap::traffic
