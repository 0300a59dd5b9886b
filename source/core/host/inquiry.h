#pragma once

#include <string_view>

#include "core/schema/generated/peer_generated.h"
#include "core/transport/http_message.h"

namespace lycheegap::host {

struct host_state;

/// Path prefix of inquiries on the request listener.
inline constexpr std::string_view inquiry_path = "/v1/outcomes/";

/// GET /v1/outcomes/ID: how the request with this id ended. The id is enough to ask; the answer holds
/// nothing of the endpoint's answer but its status.
transport::http_response serve_inquiry(host_state& host, std::string_view request_id);

/// The same question from another host, or the question who took over a memory.
schema::outcome_answer_t answer_outcome_question(host_state& host,
                                                 const schema::outcome_question_t& question);

} // namespace lycheegap::host
