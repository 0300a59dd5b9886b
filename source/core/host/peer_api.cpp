#include "peer_api.h"

#include "ask_home.h"
#include "core/common/log.h"
#include "core/schema/peer_codec.h"
#include "endpoint_probes.h"
#include "handover.h"
#include "handover_home.h"
#include "heartbeats.h"
#include "host_state.h"
#include "inquiry.h"
#include "withdrawn_keys.h"

namespace lycheegap::host {

namespace {

using common::field;

schema::bytes refuse(common::step at, std::string_view text) {
    common::log_warning("peer_message_refused",
                        {field("step", common::step_name(at)), field("reason", text)});
    schema::peer_refusal_t refusal;
    refusal.step = common::step_name(at);
    refusal.text = text;
    return schema::encode_peer(std::move(refusal));
}

} // namespace

schema::bytes serve_peer(host_state& host, schema::byte_view message) {
    const auto decoded = schema::decode<schema::peer_message>(message, "peer");
    if (!decoded) {
        return refuse(common::step::decode, "not a valid message");
    }
    if (const auto* beat = decoded->body.Asheartbeat()) {
        return handle_heartbeat(host, *beat);
    }
    if (decoded->body.Asrelay_question() != nullptr) {
        return handle_relay_question(host);
    }
    if (const auto* keys = decoded->body.Aswithdrawn_keys()) {
        return handle_withdrawn_keys(host, *keys);
    }
    if (const auto* request = decoded->body.Astoken_request()) {
        return schema::encode_peer(handle_token_request(host, *request));
    }
    if (const auto* handover = decoded->body.Ashome_handover()) {
        return schema::encode_peer(handle_handover(host, *handover));
    }
    if (const auto* report = decoded->body.Asload_report()) {
        return schema::encode_peer(handle_load_report(host, *report));
    }
    if (const auto* question = decoded->body.Asoutcome_question()) {
        return schema::encode_peer(handle_outcome_question(host, *question));
    }
    if (const auto* handover = decoded->body.Asoutcome_handover()) {
        return schema::encode_peer(handle_handover(host, *handover));
    }
    return refuse(common::step::decode, "not a request");
}

} // namespace lycheegap::host
