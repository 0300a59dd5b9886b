#include "operator_api.h"

#include "core/common/digest.h"
#include "core/common/log.h"
#include "core/transport/record_codec.h"
#include "dump.h"
#include "edit_api.h"
#include "host_state.h"

namespace lycheegap::host {

namespace {

using common::field;
using transport::http_request;
using transport::http_response;
using transport::json_response;

constexpr int status_unauthorized = 401;
constexpr int status_not_found = 404;

http_response serve_catalog(host_state& host) {
    const auto record = transport::make_record(current_control(host)->configuration);
    return json_response(200, schema::to_json<schema::catalog_record>(record));
}

http_response serve_metrics(host_state& host) {
    auto text = common::exposition_text(common::read_metrics(host.metrics));
    return {200, {{"content-type", "text/plain; version=0.0.4"}}, std::move(text)};
}

bool is_admitted(const host_state& host, const http_request& request) {
    const auto shown = execution::find_header(request.head.headers, "authorization");
    return common::equal_secrets(shown, host.settings.operators->secret);
}

} // namespace

http_response serve_operator(host_state& host, const http_request& request) {
    if (!is_admitted(host, request)) {
        common::count(host.metrics, "operators_refused");
        common::log_warning("operator_refused", {field("step", "authenticate"), field("peer", request.peer)});
        return {status_unauthorized, {}, "step authenticate: the operators' secret is needed\n"};
    }
    const auto& path = request.head.path;
    if (path == "/v1/dump") {
        return json_response(200, schema::to_json<schema::host_dump>(make_dump(host)));
    }
    if (path == "/v1/catalog") {
        return serve_catalog(host);
    }
    if (path == "/metrics") {
        return serve_metrics(host);
    }
    if (path == "/v1/edit/status") {
        return serve_edit_status(host, request);
    }
    if (path == "/v1/history") {
        return serve_history(host, request);
    }
    if (path == "/v1/edit" && request.head.method == "POST") {
        return serve_edit(host, request);
    }
    return {status_not_found, {}, "unknown path\n"};
}

} // namespace lycheegap::host
