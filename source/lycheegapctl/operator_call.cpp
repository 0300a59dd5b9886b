#include "operator_call.h"

namespace lycheegap::ctl {

std::optional<transport::http_response> call_operator(const operator_target& target, const command& asked) {
    transport::connection_pool connections;
    transport::http_call call;
    call.address = target.address;
    call.head.method = asked.body.empty() ? "GET" : "POST";
    call.head.path = asked.path;
    call.head.query = asked.query;
    call.head.headers = {{"authorization", target.secret}, {"content-type", "application/json"}};
    call.body = transport::as_bytes(asked.body);
    call.deadline = target.deadline;
    return transport::call_http(connections, call).response;
}

} // namespace lycheegap::ctl
