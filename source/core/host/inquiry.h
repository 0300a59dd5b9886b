#pragma once

#include <string_view>

#include "core/schema/generated/peer_generated.h"
#include "core/transport/http_message.h"

namespace lycheegap::host {

struct host_state;

/// Path prefix of inquiries on the request listener.
inline constexpr std::string_view inquiry_path = "/v1/outcomes/";

/// GET /v1/outcomes/ID: how the request with this id ended. No key is needed; of the endpoint's answer the
/// report holds only the status.
transport::http_response serve_inquiry(host_state& host, std::string_view request_id);

/// Handles another host's question for the outcome of a request, or for the successor that took over an
/// incarnation's outcome memory.
schema::outcome_answer_t handle_outcome_question(host_state& host,
                                                 const schema::outcome_question_t& question);

} // namespace lycheegap::host
