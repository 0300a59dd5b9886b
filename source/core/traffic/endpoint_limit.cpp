#include "endpoint_limit.h"

#include <algorithm>
#include <cmath>

#include "core/common/digest.h"

namespace lycheegap::traffic {

namespace {

// Fraction of the limit that the sharing hosts use. The rest is for hosts that ask whether it still holds.
constexpr double shared_limit_fraction = 0.9;
// Hosts that share a limit: this many, and one for each request per second. Their buckets may be full at the
// same time, so that more hosts would exceed a small limit together.
constexpr double base_sharing_hosts = 2;
// Tokens that a bucket holds, in seconds of its rate, but at least one token.
constexpr double bucket_s = 0.25;
// Limits that differ by less than this fraction are not news.
constexpr double notable_change = 0.1;
// Ages of notices count from their arrival and leave out the time in transit.
constexpr common::milliseconds transit_tolerance{250};
// A notice that only confirms a limit must be this much newer, so that it doesn't seem newer each time that
// it is passed on.
constexpr common::milliseconds confirmation_interval{1000};
// Without news for this time, a host without a share asks the endpoint itself.
constexpr common::milliseconds news_lifetime{15'000};
// Ends of limits are passed on for this time.
constexpr common::milliseconds end_retention{30'000};
// A host decides at most once in this time whether to ask.
constexpr common::milliseconds asking_interval{1000};

bool differs(const std::optional<double>& a, const std::optional<double>& b) {
    if (!a || !b) {
        return a.has_value() != b.has_value();
    }
    return std::abs(*a - *b) > notable_change * std::max(*a, *b);
}

bool set_limit(endpoint_limit& limit, std::optional<double> per_second, common::time_point at,
               common::time_point now) {
    if (!limit.per_second) {
        limit.tokens = {0, now};
    }
    limit.per_second = per_second;
    limit.told_at = at;
    if (!differs(limit.notified, per_second)) {
        return false;
    }
    limit.notified = per_second;
    limit.is_news = true;
    return true;
}

std::size_t sharing_hosts_for(double per_second) {
    return static_cast<std::size_t>(base_sharing_hosts + std::floor(per_second));
}

/// The part of the limit that each sharing host has.
rate_limit share_of(double per_second, std::size_t hosts) {
    const auto sharing = std::clamp<std::size_t>(hosts, 1, sharing_hosts_for(per_second));
    const double rate = per_second * shared_limit_fraction / static_cast<double>(sharing);
    return {rate, std::max(1.0, rate * bucket_s)};
}

std::size_t hosts_of(const membership_knowledge& knowledge) {
    return knowledge.fleet == nullptr ? 0 : sharing_hosts(*knowledge.fleet);
}

/// Whether this host sends a request without a share, to learn whether the limit still holds. Hosts decide by
/// chance, so that together they send no more than the part of the limit that is not shared.
bool asks_again(const endpoint_limit& limit, const membership_knowledge& knowledge,
                std::string_view endpoint_id, common::time_point now) {
    const auto hosts = hosts_of(knowledge);
    if (hosts == 0 || now < limit.told_at + news_lifetime || now < limit.asked_at + asking_interval) {
        return false;
    }
    const auto interval = static_cast<std::uint64_t>(now.time_since_epoch() / asking_interval);
    const auto draw = common::stable_hash(knowledge.host, common::stable_hash(endpoint_id) ^ interval) >> 32U;
    const double probability = *limit.per_second * (1 - shared_limit_fraction) / static_cast<double>(hosts);
    return static_cast<double>(draw) < probability * static_cast<double>(1ULL << 32U);
}

} // namespace

std::optional<double> valid_limit(double per_second) {
    if (!std::isfinite(per_second) || per_second < 0) {
        return std::nullopt;
    }
    return std::clamp(per_second, min_endpoint_limit, max_endpoint_limit);
}

bool note_named_limit(endpoint_limit& limit, std::optional<double> per_second, common::time_point now) {
    if (!per_second && limit.told_at == common::time_point{}) {
        return false;
    }
    return set_limit(limit, per_second, now, now);
}

bool note_shared_limit(endpoint_limit& limit, std::optional<double> per_second, common::time_point at,
                       common::time_point now) {
    const bool is_known = limit.told_at != common::time_point{};
    const auto newer_by = differs(limit.per_second, per_second) ? transit_tolerance : confirmation_interval;
    if (is_known ? at < limit.told_at + newer_by : !per_second) {
        return false;
    }
    return set_limit(limit, per_second, at, now);
}

bool is_worth_sharing(const endpoint_limit& limit, common::time_point now) {
    return limit.per_second || (limit.told_at != common::time_point{} && now < limit.told_at + end_retention);
}

bool has_limit_room(endpoint_limit& limit, const membership_knowledge& knowledge,
                    std::string_view endpoint_id, common::time_point now) {
    if (!limit.per_second) {
        return true;
    }
    // The tokens are looked at first: whether this host has a share takes a hash for each host of the fleet,
    // and is asked for each endpoint and request.
    if (!has_token(limit.tokens, share_of(*limit.per_second, hosts_of(knowledge)), now)) {
        return false;
    }
    if (!has_share(knowledge, endpoint_id, sharing_hosts_for(*limit.per_second), now)) {
        // A share that this host gets later starts almost empty: the host that had it before may have used
        // it.
        limit.tokens = {0, now};
        return asks_again(limit, knowledge, endpoint_id, now);
    }
    return true;
}

void count_limited_request(endpoint_limit& limit, const membership_knowledge& knowledge,
                           std::string_view endpoint_id, common::time_point now) {
    if (!limit.per_second) {
        return;
    }
    if (has_share(knowledge, endpoint_id, sharing_hosts_for(*limit.per_second), now)) {
        take_token(limit.tokens, share_of(*limit.per_second, hosts_of(knowledge)), now);
    } else {
        limit.asked_at = now;
    }
}

} // namespace lycheegap::traffic
