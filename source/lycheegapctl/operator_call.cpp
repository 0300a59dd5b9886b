#include "operator_call.h"

namespace lycheegap::ctl {

std::optional<transport::http_response> call_operator(const operator_target& target, std::string_view path,
                                                      std::string_view body) {
    transport::connection_pool connections;
    transport::http_call call;
    call.address = target.address;
    call.head.method = body.empty() ? "GET" : "POST";
    call.head.path = path;
    call.head.headers = {{"authorization", target.secret}, {"content-type", "application/json"}};
    call.body = transport::as_bytes(body);
    call.deadline = target.deadline;
    return transport::call_http(connections, call).response;
}

} // namespace lycheegap::ctl
