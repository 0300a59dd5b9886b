#include "edit_api.h"

#include <algorithm>
#include <mutex>

#include <fmt/format.h>

#include "acceptance_watch.h"
#include "control_write.h"
#include "core/common/last_reason.h"
#include "core/common/log.h"
#include "core/transport/record_codec.h"
#include "host_state.h"
#include "withdrawn_keys.h"

namespace lycheegap::host {

namespace {

using common::field;
using common::milliseconds;
using common::monotonic;
using membership::control_state;
using transport::http_request;
using transport::http_response;

constexpr int status_ok = 200;
constexpr int status_bad_request = 400;
constexpr int status_conflict = 409;
constexpr int status_unavailable = 503;
constexpr auto write_timeout = milliseconds(5000);
/// Time to wait for acceptance beyond the length of an authority, after which a version is accepted without
/// the hosts that cannot be reached.
constexpr auto acceptance_extra_wait = milliseconds(2000);
constexpr auto withdrawal_wait = milliseconds(1500);

/// State of one edit request while it is served.
struct edit_operation {
    catalog::edit change;
    std::optional<catalog::record_name> record;
    bool compare{false};
    /// The `changed` field that the operator saw.
    std::uint64_t expected_changed{0};
    /// Revision that the operator saw; 0 skips the check.
    std::uint64_t expected_revision{0};
    /// The record's `changed` field at the first attempt. At a retry another value is a conflict, also
    /// without `compare`.
    std::optional<std::uint64_t> first_seen;
    /// Configuration that the last attempt made with this edit.
    std::optional<catalog::configuration> wanted;
    bool conflicts{false};
    std::string current_value;
};

http_response respond(int status, const schema::edit_answer_t& answer) {
    return transport::json_response(status, schema::to_json<schema::edit_answer>(answer));
}

http_response respond(int status, std::string_view state, std::uint64_t revision, std::string_view text) {
    schema::edit_answer_t answer;
    answer.state = state;
    answer.revision = revision;
    answer.text = text;
    return respond(status, answer);
}

template <typename Table, typename Records>
std::string value_in(const Records& records, std::string_view name) {
    const auto it = records.find(name);
    return it == records.end() ? std::string() : schema::to_json<Table>(transport::make_record(it->second));
}

std::string value_of(const catalog::configuration& source, const catalog::record_name& record) {
    switch (record.kind) {
    case catalog::record_kind::team_template:
        return value_in<schema::template_record>(source.templates, record.name);
    case catalog::record_kind::service:
        return value_in<schema::service_record>(source.services, record.name);
    case catalog::record_kind::team:
        break;
    }
    return value_in<schema::team_record>(source.teams, record.name);
}

std::uint64_t expected_changed(const schema::edit_request_t& request) {
    if (request.set_template) {
        return request.set_template->changed;
    }
    if (request.set_team) {
        return request.set_team->changed;
    }
    return request.set_service ? request.set_service->changed : request.expected_changed;
}

bool detect_conflict(edit_operation& operation, const catalog::configuration& current) {
    if (!operation.record) {
        return false;
    }
    const auto changed = catalog::last_changed_revision(current, *operation.record);
    const bool first = !operation.first_seen;
    operation.first_seen = operation.first_seen.value_or(changed);
    operation.conflicts = (operation.compare && changed != operation.expected_changed) ||
                          (operation.expected_revision != 0 && changed > operation.expected_revision) ||
                          (!first && changed != *operation.first_seen);
    if (operation.conflicts) {
        operation.current_value = value_of(current, *operation.record);
        common::fail(common::step::validate, operation.record->name, "the record has changed");
    }
    return operation.conflicts;
}

std::optional<control_state> apply(edit_operation& operation, const control_state& current) {
    if (detect_conflict(operation, current.configuration)) {
        return std::nullopt;
    }
    auto edited = catalog::apply_edit(current.configuration, operation.change);
    if (!edited) {
        return std::nullopt;
    }
    operation.wanted = *edited;
    auto next = current;
    next.configuration = std::move(*edited);
    return next;
}

// A write whose answer was lost may have taken effect, and other edits may have followed it by now.
bool is_recorded(const edit_operation& operation, const catalog::configuration& current) {
    if (!operation.wanted || current.revision < operation.wanted->revision) {
        return false;
    }
    if (const auto* key = std::get_if<catalog::withdraw_key>(&operation.change)) {
        const auto& digests = current.withdrawn_digests;
        return std::find(digests.begin(), digests.end(), key->digest) != digests.end();
    }
    return operation.record &&
           catalog::last_changed_revision(current, *operation.record) == operation.wanted->revision &&
           value_of(current, *operation.record) == value_of(*operation.wanted, *operation.record);
}

std::string wanted_value(const catalog::edit& change) {
    if (const auto* it = std::get_if<catalog::team_template>(&change)) {
        return schema::to_json<schema::template_record>(transport::make_record(*it));
    }
    if (const auto* it = std::get_if<catalog::team>(&change)) {
        return schema::to_json<schema::team_record>(transport::make_record(*it));
    }
    const auto* it = std::get_if<catalog::service>(&change);
    return it == nullptr ? std::string()
                         : schema::to_json<schema::service_record>(transport::make_record(*it));
}

http_response refuse(const edit_operation& operation, const write_result& result) {
    schema::edit_answer_t answer;
    answer.revision = result.catalog_revision;
    answer.text = common::describe_reason(common::last_reason());
    answer.state = operation.conflicts ? "conflict" : "invalid";
    if (operation.conflicts) {
        answer.current_value = operation.current_value;
        answer.wanted_value = wanted_value(operation.change);
    }
    return respond(operation.conflicts ? status_conflict : status_bad_request, answer);
}

schema::edit_answer_t acceptance_answer(const membership::acceptance& result, std::uint64_t revision) {
    schema::edit_answer_t answer;
    answer.revision = revision;
    const bool accepted = result.accepted_at <= monotonic::now();
    answer.state = accepted ? "accepted" : "recorded";
    answer.waiting_for = accepted ? std::vector<std::string>() : result.waiting_for;
    answer.text = accepted ? "" : "recorded, waiting for the hosts named";
    return answer;
}

http_response await_acceptance(host_state& host, const edit_operation& operation,
                               const write_result& result) {
    common::log_info("edit_recorded", {field("revision", result.catalog_revision)});
    const auto deadline =
        monotonic::now() + membership::add_clock_drift(authority_length(host)) + acceptance_extra_wait;
    auto answer =
        acceptance_answer(wait_for_acceptance(host, result.version, deadline), result.catalog_revision);
    if (std::holds_alternative<catalog::withdraw_key>(operation.change)) {
        answer.hosts_in_force = wait_for_withdrawal(host, monotonic::now()).hosts_in_force;
    }
    return respond(status_ok, answer);
}

http_response answer_store_unavailable(host_state& host, const edit_operation& operation) {
    if (!std::holds_alternative<catalog::withdraw_key>(operation.change)) {
        return respond(status_unavailable, "unavailable", 0,
                       "the store gave no answer; the edit may be recorded");
    }
    const auto progress = wait_for_withdrawal(host, monotonic::now() + withdrawal_wait);
    schema::edit_answer_t answer;
    answer.state = "withdrawn_unstored";
    answer.hosts_in_force = progress.hosts_in_force;
    answer.waiting_for = progress.waiting_for;
    answer.text = fmt::format("in force on {} hosts, not yet stored", progress.hosts_in_force);
    return respond(status_ok, answer);
}

// Checked first, so that an edit with a mistyped team does not withdraw another team's key.
bool holds_key(host_state& host, const catalog::withdraw_key& key) {
    const auto control = current_control(host);
    const auto team = control->configuration.teams.find(key.team);
    if (team == control->configuration.teams.end()) {
        return false;
    }
    const auto& digests = team->second.key_digests;
    return std::find(digests.begin(), digests.end(), key.digest) != digests.end();
}

void withdraw_immediately(host_state& host, const edit_operation& operation) {
    const auto* key = std::get_if<catalog::withdraw_key>(&operation.change);
    if (key != nullptr && holds_key(host, *key)) {
        add_withdrawn(host, std::span(&key->digest, 1));
        broadcast_withdrawn(host);
    }
}

http_response run_edit(host_state& host, edit_operation& operation) {
    withdraw_immediately(host, operation);
    const auto change = [&](const control_state& current) { return apply(operation, current); };
    const auto is_done = [&](const control_state& current) {
        return is_recorded(operation, current.configuration);
    };
    const auto result = write_control(host, change, is_done, monotonic::now() + write_timeout);
    switch (result.state) {
    case write_state::written:
        return await_acceptance(host, operation, result);
    case write_state::refused:
        return refuse(operation, result);
    case write_state::unavailable:
        break;
    }
    return answer_store_unavailable(host, operation);
}

std::string_view kind_text(catalog::record_kind kind) {
    switch (kind) {
    case catalog::record_kind::team_template:
        return "template";
    case catalog::record_kind::service:
        return "service";
    case catalog::record_kind::team:
        break;
    }
    return "team";
}

template <typename Records>
void add_changed(const Records& records, catalog::record_kind kind, std::uint64_t revision,
                 std::vector<catalog::record_name>& changed) {
    for (const auto& [name, it] : records) {
        if (it.changed == revision) {
            changed.push_back({kind, name});
        }
    }
}

std::vector<catalog::record_name> changed_records(const catalog::configuration& source) {
    std::vector<catalog::record_name> changed;
    add_changed(source.templates, catalog::record_kind::team_template, source.revision, changed);
    add_changed(source.teams, catalog::record_kind::team, source.revision, changed);
    add_changed(source.services, catalog::record_kind::service, source.revision, changed);
    for (const auto& it : source.tombstones) {
        if (it.revision == source.revision) {
            changed.push_back({it.kind, it.name});
        }
    }
    return changed;
}

void add_entries(const received_version& received, std::string_view kind, std::string_view name,
                 schema::history_answer_t& answer) {
    const auto& configuration = received.state->configuration;
    for (const auto& it : changed_records(configuration)) {
        if ((!kind.empty() && kind != kind_text(it.kind)) || (!name.empty() && name != it.name)) {
            continue;
        }
        auto entry = std::make_unique<schema::history_entry_t>();
        entry->revision = configuration.revision;
        entry->kind = kind_text(it.kind);
        entry->name = it.name;
        entry->value = value_of(configuration, it);
        entry->taken_at = received.received_at_ms;
        answer.entries.push_back(std::move(entry));
    }
}

std::deque<received_version> history_of(host_state& host) {
    const std::lock_guard guard(host.control.mutex);
    return host.control.history;
}

} // namespace

http_response serve_edit(host_state& host, const http_request& request) {
    const auto parsed =
        schema::from_json<schema::edit_request>(transport::as_text(request.body), request.peer);
    auto change = parsed ? transport::parse_edit(*parsed) : std::nullopt;
    if (!change) {
        return respond(status_bad_request, "invalid", 0, common::describe_reason(common::last_reason()));
    }
    edit_operation operation;
    operation.record = catalog::record_of(*change);
    operation.change = std::move(*change);
    operation.compare = parsed->compare;
    operation.expected_changed = expected_changed(*parsed);
    operation.expected_revision = parsed->expected_revision;
    return run_edit(host, operation);
}

http_response serve_edit_status(host_state& host, const http_request& request) {
    const auto revision =
        transport::parse_uint_or(transport::query_parameter(request.head.query, "revision"), 0);
    for (const auto& it : history_of(host)) {
        if (it.state->configuration.revision >= revision) {
            return respond(status_ok, acceptance_answer(acceptance_of(host, it.state->version), revision));
        }
    }
    return respond(status_ok, "unknown", revision, "this host has not seen the revision");
}

http_response serve_history(host_state& host, const http_request& request) {
    const auto kind = transport::query_parameter(request.head.query, "kind");
    const auto name = transport::query_parameter(request.head.query, "name");
    schema::history_answer_t answer;
    std::uint64_t last = 0;
    for (const auto& it : history_of(host)) {
        // Versions that change only the members keep the configuration's revision.
        if (it.state->configuration.revision != last) {
            add_entries(it, kind, name, answer);
        }
        last = it.state->configuration.revision;
    }
    return transport::json_response(status_ok, schema::to_json<schema::history_answer>(answer));
}

} // namespace lycheegap::host
