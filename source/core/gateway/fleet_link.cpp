#include "fleet_link.h"

#include <algorithm>

#include <boost/asio/this_coro.hpp>

#include "core/common/log.h"
#include "core/schema/peer_codec.h"
#include "core/transport/listen_socket.h"
#include "limit_notices.h"
#include "load_exchange.h"
#include "team_rates.h"

namespace lycheegap::gateway {

namespace {

using common::field;
using common::milliseconds;

// Workers that handle messages of other hosts. One is enough, since handling a message takes little time.
constexpr int peer_workers = 1;
// Longer waits of mirror questions are capped to this.
constexpr int max_wait_ms = 5000;

std::vector<version_name> to_names(const std::vector<std::unique_ptr<schema::held_value_t>>& from) {
    std::vector<version_name> names;
    for (const auto& it : from) {
        if (it) {
            names.push_back({it->key, it->revision});
        }
    }
    return names;
}

mirror_query to_query(const schema::mirror_question_t& question) {
    mirror_query query{.after = question.after,
                       .wait = milliseconds{std::clamp(question.wait, 0, max_wait_ms)},
                       .max_age = milliseconds{std::max(question.max_age, 0)},
                       .accepts_compressed = question.accepts_compressed,
                       .held = {},
                       .compared = {}};
    query.held = to_names(question.held_values);
    query.compared = to_names(question.compared);
    return query;
}

/// Handles one message of another host.
void handle_peer_message(gateway_state& state, schema::byte_view message,
                         const transport::peer_responder& respond) {
    const auto read = schema::decode<schema::peer_message>(message, "host");
    if (read && read->body.type == schema::peer_body::mirror_question) {
        const auto& question = *read->body.Asmirror_question();
        query_mirror(state.mirror, to_query(question), [&state, respond](schema::bytes answer) {
            common::count(state.metrics, "mirror_answers");
            common::count(state.metrics, "mirror_answer_bytes", answer.size());
            respond(std::move(answer));
        });
        return;
    }
    if (read && read->body.type == schema::peer_body::rate_question) {
        const auto& question = *read->body.Asrate_question();
        respond(handle_rate_question(state, question.team, question.wanted));
        return;
    }
    if (read && read->body.type == schema::peer_body::load_exchange) {
        respond(handle_load_exchange(state, *read->body.Asload_exchange()));
        return;
    }
    if (read && read->body.type == schema::peer_body::limit_notice) {
        respond(handle_limit_notice(state, *read->body.Aslimit_notice()));
        return;
    }
    common::log_warning("peer_message_refused", {field("reason", read ? "unexpected" : "unreadable")});
    schema::peer_refusal_t refused;
    refused.step = "decode";
    refused.text = "not a question that this host answers";
    respond(schema::encode_peer(std::move(refused)));
}

/// Passes the reply from the peer thread to the coroutine that waits for it.
struct pending_reply {
    explicit pending_reply(const net::any_io_executor& executor) : timer(executor) {}

    net::steady_timer timer;
    bool done{false};
    std::optional<schema::bytes> answer;
};

} // namespace

std::unique_ptr<fleet_link> open_fleet_link(gateway_state& state, const std::string& ip, int port,
                                            const std::string& secret) {
    auto made = std::make_unique<fleet_link>();
    made->pool = std::make_unique<common::worker_pool>(peer_workers);
    made->peers = transport::start_peer_link({ip, port, secret}, *made->pool,
                                             [&state](schema::byte_view message, const auto& respond) {
                                                 handle_peer_message(state, message, respond);
                                             });
    if (!made->peers) {
        return nullptr;
    }
    state.link = made.get();
    made->address = transport::join_address(ip, made->peers->port());
    return made;
}

awaitable<std::optional<schema::bytes>> call_host(fleet_link& link, std::string address,
                                                  schema::bytes message, common::time_point deadline,
                                                  common::time_point last_deadline) {
    const auto executor = co_await net::this_coro::executor;
    const auto pending = std::make_shared<pending_reply>(executor);
    const auto wait_end = std::max(deadline, last_deadline);
    pending->timer.expires_at(wait_end);
    const auto reply = [pending, executor](auto answer) {
        net::post(executor, [pending, answer = std::move(answer)]() mutable {
            pending->done = true;
            pending->answer = std::move(answer);
            pending->timer.cancel();
        });
    };
    link.peers->call(std::move(address), std::move(message), deadline, reply, last_deadline);
    while (!pending->done && common::monotonic::now() < wait_end) {
        error_code ec;
        co_await pending->timer.async_wait(keep_error(ec));
    }
    co_return std::move(pending->answer);
}

} // namespace lycheegap::gateway
