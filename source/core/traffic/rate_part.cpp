#include "rate_part.h"

namespace lycheegap::traffic {

void note_own_part(own_part& part, const membership_knowledge& knowledge, common::time_point now) {
    const auto* fleet = knowledge.fleet;
    if (fleet == nullptr || !fleet->member_since || now >= knowledge.valid_until) {
        part.since.reset();
        return;
    }
    // A host that was frozen finds its next confirmation without ever having seen the last one run out.
    if (!part.since || now >= part.until || part.member_since != fleet->member_since) {
        part.since = now;
    }
    part.until = knowledge.valid_until;
    part.member_since = fleet->member_since;
}

rate_limit held_limit(const own_part& part, const fleet_view& view, const rate_limit& fleet) {
    const auto hosts = sharing_hosts(view);
    if (!part.since || hosts == 0) {
        return {};
    }
    // Hosts that left recently may still use their parts.
    const double share =
        view.own_caller_share * static_cast<double>(view.names.size()) / static_cast<double>(hosts);
    return own_limit(fleet, share, hosts);
}

void note_own_limit(team_tokens& tokens, const own_part& part, const rate_limit& own,
                    common::time_point now) {
    const bool held = part.since && has_own_tokens(own);
    if (!held || !has_own_tokens(tokens.own_limit)) {
        tokens.own = {0, now};
    } else if (tokens.own.at < *part.since) {
        tokens.own = {0, *part.since};
    }
    tokens.own_limit = held ? own : rate_limit{};
}

} // namespace lycheegap::traffic
