#include "forward.h"

#include <algorithm>
#include <mutex>

#include "admission.h"
#include "core/common/last_reason.h"
#include "core/common/log.h"
#include "core/schema/peer_codec.h"
#include "header_codec.h"
#include "host_state.h"
#include "once.h"

namespace lycheegap::host {

namespace {

using common::field;
using common::milliseconds;
using common::monotonic;

/// The holder works until the request's deadline; its refusal then still has to arrive.
constexpr auto answer_margin = milliseconds(300);
constexpr auto successor_query_timeout = milliseconds(500);
constexpr std::size_t max_hosts_asked = 3;
constexpr int max_holders_tried = 2;

schema::bytes encode_forward(const exchange& it) {
    schema::forward_request_t request;
    request.request_id = it.request_id;
    request.method = it.head.method;
    request.path = it.head.path;
    request.query = it.head.query;
    request.headers = make_headers(it.head.headers);
    request.body = to_octets(transport::as_text(it.body));
    request.key_digest = it.key_digest;
    request.timeout = static_cast<int>(common::milliseconds_between(monotonic::now(), it.deadline));
    return schema::encode_peer(std::move(request));
}

std::optional<schema::peer_message_t> query_member(host_state& host, const membership::member& target,
                                                   schema::bytes message, common::time_point deadline) {
    const auto answer = host.peers->call_and_wait(target.peer_address, std::move(message), deadline);
    return answer ? schema::decode<schema::peer_message>(*answer, target.peer_address) : std::nullopt;
}

std::optional<exchange_result> forward_to(host_state& host, const exchange& it,
                                          const membership::member& holder) {
    const auto decoded = query_member(host, holder, encode_forward(it), it.deadline + answer_margin);
    const auto* answer = decoded ? decoded->body.Asforward_answer() : nullptr;
    if (answer == nullptr) {
        common::log_warning("forward_failed", {field("request", it.request_id), field("holder", holder.name),
                                               field("reason", common::last_reason().text)});
        return std::nullopt;
    }
    exchange_result result;
    result.response.status = answer->status;
    result.response.headers = parse_headers(answer->headers);
    result.response.body = to_text(answer->body);
    return result;
}

std::optional<std::uint64_t> known_successor(host_state& host, std::uint64_t incarnation) {
    const std::lock_guard guard(host.outcomes.mutex);
    const auto it = host.outcomes.successors.find(incarnation);
    return it == host.outcomes.successors.end() ? std::nullopt : std::optional(it->second.incarnation);
}

const membership::member* find_incarnation(const membership::generation& members, std::uint64_t incarnation) {
    const auto& list = members.members;
    const auto it = std::find_if(list.begin(), list.end(),
                                 [&](const auto& one) { return one.incarnation == incarnation; });
    return it == list.end() ? nullptr : &*it;
}

/// Asks a few members for the successor; a few are enough, since a handover is announced to every member.
std::optional<std::uint64_t> query_successor(host_state& host, std::uint64_t incarnation,
                                             common::time_point deadline) {
    schema::outcome_question_t question;
    question.successor_of = incarnation;
    const auto encoded = schema::encode_peer(std::move(question));
    const auto members = current_generation(host);
    std::size_t asked = 0;
    for (const auto& it : members->members) {
        if (it.incarnation == host.self.incarnation) {
            continue;
        }
        if (++asked > max_hosts_asked) {
            break;
        }
        const auto until = std::min(deadline, monotonic::now() + successor_query_timeout);
        const auto decoded = query_member(host, it, encoded, until);
        const auto* answer = decoded ? decoded->body.Asoutcome_answer() : nullptr;
        if (answer != nullptr && answer->successor != 0) {
            return answer->successor;
        }
    }
    return std::nullopt;
}

std::optional<std::uint64_t> find_successor(host_state& host, std::uint64_t incarnation,
                                            common::time_point deadline) {
    const auto known = known_successor(host, incarnation);
    return known ? known : query_successor(host, incarnation, deadline);
}

/// A request that another host forwarded to this one.
struct forwarded_call {
    schema::forward_request_t request;
    common::time_point arrived_at;
};

exchange make_exchange(host_state& host, const forwarded_call& call) {
    exchange it;
    it.head.method = call.request.method;
    it.head.path = call.request.path;
    it.head.query = call.request.query;
    it.head.headers = parse_headers(call.request.headers);
    it.body = transport::as_bytes(to_text(call.request.body));
    it.key_digest = call.request.key_digest;
    it.request_id = call.request.request_id;
    it.id = execution::parse_request_id(it.request_id);
    it.configuration = current_catalog(host);
    it.arrived_at = call.arrived_at;
    return it;
}

exchange_result run_forwarded(host_state& host, const forwarded_call& call) {
    auto it = make_exchange(host, call);
    if (!it.id || !holds_outcomes(host, it.id->source.incarnation)) {
        return refuse(host, it, refusal_reason::home, true, "this host does not remember the id");
    }
    if (auto refused = admit(host, it)) {
        return correct_refusal_outcome(host, it, std::move(*refused));
    }
    it.deadline = std::min(it.deadline, call.arrived_at + milliseconds(std::max(0, call.request.timeout)));
    return run_once(host, it);
}

schema::bytes encode_answer(const exchange_result& result) {
    schema::forward_answer_t answer;
    answer.status = result.response.status;
    answer.headers = make_headers(result.response.headers);
    answer.body = to_octets(result.response.body);
    return schema::encode_peer(std::move(answer));
}

bool reserve_forward_slot(host_state& host) {
    const auto& settings = *host.settings.outcomes;
    const std::lock_guard guard(host.outcomes.mutex);
    if (host.outcomes.forwarded >= settings.forward_workers + settings.forward_queue) {
        return false;
    }
    ++host.outcomes.forwarded;
    return true;
}

void release_forward_slot(host_state& host) {
    const std::lock_guard guard(host.outcomes.mutex);
    --host.outcomes.forwarded;
    host.outcomes.changed.notify_all();
}

exchange_result refuse_overloaded(host_state& host, const forwarded_call& call) {
    const auto it = make_exchange(host, call);
    auto refused = refuse(host, it, refusal_reason::queue, false, "too many requests from other hosts");
    return correct_refusal_outcome(host, it, std::move(refused));
}

} // namespace

std::optional<membership::member> find_holder(host_state& host, std::uint64_t incarnation,
                                              common::time_point deadline) {
    for (int n = 0; n < max_holders_tried; ++n) {
        const auto members = current_generation(host);
        if (const auto* found = find_incarnation(*members, incarnation)) {
            return *found;
        }
        const auto next = find_successor(host, incarnation, deadline);
        if (!next) {
            return std::nullopt;
        }
        incarnation = *next;
    }
    return std::nullopt;
}

exchange_result forward_to_holder(host_state& host, const exchange& it) {
    auto incarnation = it.id->source.incarnation;
    for (int n = 0; n < max_holders_tried; ++n) {
        const auto holder = find_holder(host, incarnation, it.deadline);
        if (!holder) {
            return refuse(host, it, refusal_reason::home, true, "the ticket's host is gone");
        }
        if (auto result = forward_to(host, it, *holder)) {
            return std::move(*result);
        }
        const auto next = known_successor(host, incarnation);
        if (!next) {
            break;
        }
        incarnation = *next;
    }
    return refuse(host, it, refusal_reason::home, true, "the ticket's host gives no answer");
}

bool handle_forwarded(host_state& host, schema::byte_view message, const transport::peer_responder& respond) {
    auto decoded = schema::decode<schema::peer_message>(message, "peer");
    auto* request = decoded ? decoded->body.Asforward_request() : nullptr;
    if (request == nullptr) {
        return false;
    }
    const auto call =
        std::make_shared<const forwarded_call>(forwarded_call{std::move(*request), monotonic::now()});
    if (!reserve_forward_slot(host)) {
        respond(encode_answer(refuse_overloaded(host, *call)));
        return true;
    }
    host.forward_workers->submit([&host, call, respond] {
        respond(encode_answer(run_forwarded(host, *call)));
        release_forward_slot(host);
    });
    return true;
}

} // namespace lycheegap::host
