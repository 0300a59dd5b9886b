#include "operator_api.h"

#include <fmt/format.h>

#include "core/common/digest.h"
#include "core/common/last_reason.h"
#include "core/common/log.h"
#include "core/transport/record_codec.h"
#include "dump.h"
#include "host_state.h"
#include "store_keys.h"

namespace lycheegap::host {

namespace {

using common::field;
using transport::http_request;
using transport::http_response;
using transport::json_response;

constexpr int status_bad_request = 400;
constexpr int status_unauthorized = 401;
constexpr int status_not_found = 404;
constexpr int status_conflict = 409;
constexpr int status_unavailable = 503;

http_response answer_edit(int status, std::string_view state, std::uint64_t revision, std::string_view text) {
    schema::edit_answer_t answer;
    answer.state = state;
    answer.revision = revision;
    answer.text = text;
    return json_response(status, schema::to_json<schema::edit_answer>(answer));
}

std::optional<catalog::configuration> decode_current(const host_state& host,
                                                     const transport::store_value& value) {
    if (value.data.empty()) {
        return catalog::configuration{};
    }
    const auto record =
        schema::decode<schema::catalog_record>(transport::as_bytes(value.data), host.store.address);
    if (!record) {
        return std::nullopt;
    }
    return transport::parse_configuration(*record);
}

http_response record_edit(host_state& host, const catalog::edit& change, std::uint64_t expected_revision) {
    const auto value = transport::read_value(host.store, catalog_key);
    if (!value) {
        return answer_edit(status_unavailable, "unavailable", 0, common::describe(common::last_reason()));
    }
    const auto current = decode_current(host, *value);
    if (!current) {
        return answer_edit(status_unavailable, "unavailable", 0, common::describe(common::last_reason()));
    }
    if (expected_revision != 0 && expected_revision != current->revision) {
        return answer_edit(status_conflict, "conflict", current->revision, "the configuration has changed");
    }
    const auto next = catalog::apply_edit(*current, change);
    if (!next) {
        return answer_edit(status_bad_request, "invalid", current->revision,
                           common::describe(common::last_reason()));
    }
    const auto encoded = schema::encode<schema::catalog_record>(transport::make_record(*next));
    const auto result =
        transport::compare_and_swap(host.store, catalog_key, value->revision, transport::as_text(encoded));
    switch (result.state) {
    case transport::swap_state::written:
        common::log_info("edit_recorded", {field("revision", next->revision)});
        return answer_edit(200, "recorded", next->revision, "");
    case transport::swap_state::conflict:
        return answer_edit(status_conflict, "conflict", current->revision, "another edit came first");
    case transport::swap_state::unknown:
        break;
    }
    return answer_edit(status_unavailable, "unavailable", 0,
                       "the store gave no answer; the edit may be recorded");
}

http_response serve_edit(host_state& host, const http_request& request) {
    const auto parsed =
        schema::from_json<schema::edit_request>(transport::as_text(request.body), request.peer);
    if (!parsed) {
        return answer_edit(status_bad_request, "invalid", 0, common::describe(common::last_reason()));
    }
    const auto change = transport::parse_edit(*parsed);
    if (!change) {
        return answer_edit(status_bad_request, "invalid", 0, common::describe(common::last_reason()));
    }
    return record_edit(host, *change, parsed->expected_revision);
}

http_response serve_catalog(host_state& host) {
    const auto record = transport::make_record(*current_catalog(host));
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
    if (path == "/v1/edit" && request.head.method == "POST") {
        return serve_edit(host, request);
    }
    return {status_not_found, {}, "unknown path\n"};
}

} // namespace lycheegap::host
