#include "operator_call.h"

namespace lycheegap::ctl {

std::optional<transport::http_response> call_operator(const operator_target& target, const command& request) {
    transport::connection_pool connections;
    transport::http_call call;
    call.address = target.address;
    call.head.method = request.body.empty() ? "GET" : "POST";
    call.head.path = request.path;
    call.head.query = request.query;
    call.head.headers = {{"authorization", target.secret}, {"content-type", "application/json"}};
    call.body = transport::as_bytes(request.body);
    call.deadline = target.deadline;
    return transport::call_http(connections, call).response;
}

} // namespace lycheegap::ctl
