#include "serve_request.h"

#include <atomic>

#include <fmt/format.h>

#include "admission.h"
#include "attempts.h"
#include "core/common/digest.h"
#include "host_state.h"
#include "inquiry.h"
#include "once.h"

namespace lycheegap::host {

namespace {

using transport::http_request;
using transport::http_response;

std::string make_request_id(host_state& host) {
    static std::atomic<std::uint64_t> counter{0};
    return fmt::format("{:016x}.{}", host.self.incarnation, counter.fetch_add(1));
}

/// Sets the request's id: the caller's, or a generated one. False when the caller's id is malformed.
bool assign_request_id(host_state& host, exchange& it) {
    const std::string given(execution::find_header(it.head.headers, request_id_header));
    if (given.empty()) {
        it.request_id = make_request_id(host);
        return true;
    }
    if (!execution::is_plain_id(given)) {
        it.request_id = make_request_id(host);
        return false;
    }
    it.request_id = given;
    it.id = execution::parse_request_id(given);
    return true;
}

exchange open_exchange(host_state& host, const http_request& request) {
    exchange it;
    it.head = request.head;
    it.body = request.body;
    it.arrived_at = common::monotonic::now();
    it.configuration = current_catalog(host);
    if (const auto key = execution::extract_key(it.head)) {
        it.key_digest = common::key_digest(*key);
    }
    return it;
}

} // namespace

http_response serve_request(host_state& host, const http_request& request) {
    if (request.head.path.starts_with(inquiry_path) && request.head.method == "GET") {
        return serve_inquiry(host, std::string_view(request.head.path).substr(inquiry_path.size()));
    }
    auto it = open_exchange(host, request);
    if (!assign_request_id(host, it)) {
        return refuse(host, it, refusal_reason::id, false, "x-request-id is malformed").response;
    }
    if (auto refused = admit(host, it)) {
        return correct_refusal_outcome(host, it, std::move(*refused)).response;
    }
    if (it.match.rule->work == catalog::work_class::once) {
        return serve_once(host, it).response;
    }
    return run_exchange(host, it).response;
}

} // namespace lycheegap::host
