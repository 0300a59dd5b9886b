#include "serve_lookup.h"

#include <mutex>

#include "core/common/digest.h"
#include "core/transport/lookup_codec.h"
#include "host_state.h"

namespace lycheegap::host {

namespace {

constexpr std::int64_t answer_lifetime_ms = 5000;
constexpr int status_not_found = 404;

std::shared_ptr<const lookup_cache> current_cache(host_state& host) {
    auto members = current_generation(host);
    auto configuration = current_catalog(host);
    {
        const std::lock_guard guard(host.lookups.mutex);
        const auto& kept = host.lookups.cache;
        if (kept->members == members && kept->configuration == configuration) {
            return kept;
        }
    }
    auto fresh = std::make_shared<const lookup_cache>(make_lookup_cache(members, configuration));
    const std::lock_guard guard(host.lookups.mutex);
    const auto& kept = host.lookups.cache;
    if (kept->members == nullptr || kept->members->number <= members->number) {
        host.lookups.cache = fresh;
    }
    return fresh;
}

std::shared_ptr<const client_blocks> current_blocks(host_state& host) {
    const std::lock_guard guard(host.lookups.mutex);
    return host.lookups.blocks;
}

/// Site whose client blocks contain the caller's address; null when there is none.
const client_site* find_site(const client_blocks& blocks, std::string_view peer) {
    const auto address = steering::parse_address(peer);
    const auto number = address ? steering::find_site(blocks.map, *address) : steering::no_site;
    return number < blocks.sites.size() ? &blocks.sites[number] : nullptr;
}

std::string answer_lookup(host_state& host, const transport::http_request& request) {
    using transport::query_parameter;
    const auto cache = current_cache(host);
    const auto blocks = current_blocks(host);
    const auto& query = request.head.query;
    auto region = query_parameter(query, "region");
    auto failure_domain = query_parameter(query, "failure_domain");
    if (const auto* site = find_site(*blocks, request.peer)) {
        region = site->region;
        failure_domain = site->failure_domain;
    }
    const auto team = query_parameter(query, "team");
    const auto seed = common::stable_hash(request.peer);
    return transport::complete_lookup_answer(find_answer(*cache, region, failure_domain, team, seed),
                                             common::unix_milliseconds() + answer_lifetime_ms,
                                             new_ticket(host));
}

} // namespace

transport::http_response serve_lookup(host_state& host, const transport::http_request& request) {
    if (request.head.path != "/v1/lookup") {
        return {status_not_found, {}, "unknown path"};
    }
    common::count(host.metrics, "lookups");
    // No content type: in the HTTP library, a header costs a tenth of the time of a whole look-up.
    return {200, {}, answer_lookup(host, request)};
}

} // namespace lycheegap::host
