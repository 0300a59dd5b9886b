#include "record_codec.h"

#include <vector>

#include "core/common/last_reason.h"

namespace lycheegap::transport {

namespace {

using common::fail;
using common::step;

catalog::work_class parse_work_class(schema::work_class value) {
    switch (value) {
    case schema::work_class::once:
        return catalog::work_class::once;
    case schema::work_class::deferrable:
        return catalog::work_class::deferrable;
    default:
        return catalog::work_class::interactive;
    }
}

schema::work_class make_work_class(catalog::work_class value) {
    switch (value) {
    case catalog::work_class::once:
        return schema::work_class::once;
    case catalog::work_class::deferrable:
        return schema::work_class::deferrable;
    default:
        return schema::work_class::interactive;
    }
}

catalog::route parse_route(const schema::route_record_t& record) {
    return {record.method, record.path_prefix, record.service, parse_work_class(record.work), record.open};
}

std::unique_ptr<schema::route_record_t> make_route_record(const catalog::route& source) {
    auto record = std::make_unique<schema::route_record_t>();
    record->method = source.method;
    record->path_prefix = source.path_prefix;
    record->service = source.service;
    record->work = make_work_class(source.work);
    record->open = source.open;
    return record;
}

catalog::endpoint parse_endpoint(const schema::endpoint_record_t& record) {
    return {record.name, record.address, record.region, record.failure_domain, record.slots};
}

std::unique_ptr<schema::endpoint_record_t> make_endpoint_record(const catalog::endpoint& source) {
    auto record = std::make_unique<schema::endpoint_record_t>();
    record->name = source.name;
    record->address = source.address;
    record->region = source.region;
    record->failure_domain = source.failure_domain;
    record->slots = source.slots;
    return record;
}

catalog::record_kind parse_record_kind(std::string_view name) {
    if (name == "template") {
        return catalog::record_kind::team_template;
    }
    return name == "service" ? catalog::record_kind::service : catalog::record_kind::team;
}

std::string_view kind_name(catalog::record_kind kind) {
    switch (kind) {
    case catalog::record_kind::team_template:
        return "template";
    case catalog::record_kind::service:
        return "service";
    default:
        return "team";
    }
}

std::unique_ptr<schema::tombstone_record_t> make_tombstone_record(const catalog::tombstone& source) {
    auto record = std::make_unique<schema::tombstone_record_t>();
    record->kind = kind_name(source.kind);
    record->name = source.name;
    record->revision = source.revision;
    return record;
}

template <typename Record, typename Source>
std::unique_ptr<Record> make_record_ptr(const Source& source) {
    return std::make_unique<Record>(make_record(source));
}

std::vector<catalog::edit> collect_edits(const schema::edit_request_t& request) {
    std::vector<catalog::edit> edits;
    if (request.set_template) {
        edits.emplace_back(parse_template(*request.set_template));
    }
    if (request.set_team) {
        edits.emplace_back(parse_team(*request.set_team));
    }
    if (request.set_service) {
        edits.emplace_back(parse_service(*request.set_service));
    }
    if (!request.withdraw_template.empty()) {
        edits.emplace_back(catalog::withdraw_template{request.withdraw_template});
    }
    if (!request.withdraw_team.empty()) {
        edits.emplace_back(catalog::withdraw_team{request.withdraw_team});
    }
    if (!request.withdraw_service.empty()) {
        edits.emplace_back(catalog::withdraw_service{request.withdraw_service});
    }
    if (!request.add_key_digest.empty()) {
        edits.emplace_back(catalog::add_key{request.key_team, request.add_key_digest});
    }
    if (!request.withdraw_key_digest.empty()) {
        edits.emplace_back(catalog::withdraw_key{request.key_team, request.withdraw_key_digest});
    }
    return edits;
}

} // namespace

catalog::team_template parse_template(const schema::template_record_t& record) {
    catalog::team_template parsed;
    parsed.name = record.name;
    for (const auto& it : record.routes) {
        parsed.routes.push_back(parse_route(*it));
    }
    parsed.request_timeout_ms = record.request_timeout;
    parsed.queue_timeout_ms = record.queue_timeout;
    parsed.attempt_limit = record.attempt_limit;
    parsed.loan_percent = record.loan_percent;
    parsed.changed = record.changed;
    return parsed;
}

catalog::team parse_team(const schema::team_record_t& record) {
    return {record.name,  record.template_name, record.key_digests, record.rate,
            record.burst, record.services,      record.changed};
}

catalog::service parse_service(const schema::service_record_t& record) {
    catalog::service parsed;
    parsed.name = record.name;
    for (const auto& it : record.endpoints) {
        parsed.endpoints.push_back(parse_endpoint(*it));
    }
    parsed.changed = record.changed;
    return parsed;
}

std::optional<catalog::configuration> parse_configuration(const schema::catalog_record_t& record) {
    catalog::configuration parsed;
    parsed.revision = record.revision;
    for (const auto& it : record.services) {
        parsed.services.insert_or_assign(it->name, parse_service(*it));
    }
    for (const auto& it : record.templates) {
        parsed.templates.insert_or_assign(it->name, parse_template(*it));
    }
    for (const auto& it : record.teams) {
        parsed.teams.insert_or_assign(it->name, parse_team(*it));
    }
    parsed.withdrawn_digests = record.withdrawn_digests;
    for (const auto& it : record.tombstones) {
        parsed.tombstones.push_back({parse_record_kind(it->kind), it->name, it->revision});
    }
    catalog::index_keys(parsed);
    if (!catalog::is_valid(parsed)) {
        return std::nullopt;
    }
    return parsed;
}

std::optional<catalog::edit> parse_edit(const schema::edit_request_t& request) {
    auto edits = collect_edits(request);
    if (edits.size() != 1) {
        return fail(step::validate, "edit", "exactly one edit must be given");
    }
    return std::move(edits.front());
}

membership::member parse_member(const schema::member_record_t& record) {
    return {record.name,         record.incarnation,    record.region,          record.failure_domain,
            record.peer_address, record.lookup_address, record.request_address, record.operator_address,
            record.leaving,      record.joined};
}

membership::generation parse_generation(const schema::generation_record_t& record) {
    membership::generation parsed;
    parsed.number = record.number;
    for (const auto& it : record.members) {
        parsed.members.push_back(parse_member(*it));
    }
    parsed.floor = record.floor;
    for (const auto& it : record.departed) {
        parsed.departed.push_back({it->name, it->incarnation, it->joined, it->left, it->gave_up});
    }
    return parsed;
}

schema::template_record_t make_record(const catalog::team_template& source) {
    schema::template_record_t record;
    record.name = source.name;
    for (const auto& it : source.routes) {
        record.routes.push_back(make_route_record(it));
    }
    record.request_timeout = source.request_timeout_ms;
    record.queue_timeout = source.queue_timeout_ms;
    record.attempt_limit = source.attempt_limit;
    record.loan_percent = source.loan_percent;
    record.changed = source.changed;
    return record;
}

schema::team_record_t make_record(const catalog::team& source) {
    schema::team_record_t record;
    record.name = source.name;
    record.template_name = source.template_name;
    record.key_digests = source.key_digests;
    record.rate = source.rate;
    record.burst = source.burst;
    record.services = source.services;
    record.changed = source.changed;
    return record;
}

schema::service_record_t make_record(const catalog::service& source) {
    schema::service_record_t record;
    record.name = source.name;
    for (const auto& it : source.endpoints) {
        record.endpoints.push_back(make_endpoint_record(it));
    }
    record.changed = source.changed;
    return record;
}

schema::catalog_record_t make_record(const catalog::configuration& source) {
    schema::catalog_record_t record;
    record.revision = source.revision;
    for (const auto& [name, it] : source.templates) {
        record.templates.push_back(make_record_ptr<schema::template_record_t>(it));
    }
    for (const auto& [name, it] : source.teams) {
        record.teams.push_back(make_record_ptr<schema::team_record_t>(it));
    }
    for (const auto& [name, it] : source.services) {
        record.services.push_back(make_record_ptr<schema::service_record_t>(it));
    }
    record.withdrawn_digests = source.withdrawn_digests;
    for (const auto& it : source.tombstones) {
        record.tombstones.push_back(make_tombstone_record(it));
    }
    return record;
}

schema::member_record_t make_record(const membership::member& source) {
    schema::member_record_t record;
    record.name = source.name;
    record.incarnation = source.incarnation;
    record.region = source.region;
    record.failure_domain = source.failure_domain;
    record.peer_address = source.peer_address;
    record.lookup_address = source.lookup_address;
    record.request_address = source.request_address;
    record.operator_address = source.operator_address;
    record.leaving = source.leaving;
    record.joined = source.joined;
    return record;
}

schema::generation_record_t make_record(const membership::generation& source) {
    schema::generation_record_t record;
    record.number = source.number;
    for (const auto& it : source.members) {
        record.members.push_back(make_record_ptr<schema::member_record_t>(it));
    }
    record.floor = source.floor;
    for (const auto& it : source.departed) {
        auto departed = std::make_unique<schema::departed_record_t>();
        departed->name = it.name;
        departed->incarnation = it.incarnation;
        departed->joined = it.joined;
        departed->left = it.left;
        departed->gave_up = it.gave_up;
        record.departed.push_back(std::move(departed));
    }
    return record;
}

std::optional<membership::control_state> decode_control(schema::byte_view encoded, std::string_view peer) {
    if (encoded.empty()) {
        return membership::control_state{};
    }
    const auto record = schema::decode<schema::control_record>(encoded, peer);
    if (!record) {
        return std::nullopt;
    }
    if (!record->generation || !record->catalog) {
        return fail(step::decode, peer, "the control record has no generation or no catalog");
    }
    auto parsed = parse_configuration(*record->catalog);
    if (!parsed) {
        return std::nullopt;
    }
    return membership::control_state{record->version, parse_generation(*record->generation),
                                     std::move(*parsed)};
}

schema::bytes encode_control(const membership::control_state& source, std::uint64_t writer) {
    schema::control_record_t record;
    record.version = source.version;
    record.writer = writer;
    record.generation = make_record_ptr<schema::generation_record_t>(source.members);
    record.catalog = make_record_ptr<schema::catalog_record_t>(source.configuration);
    return schema::encode<schema::control_record>(record);
}

} // namespace lycheegap::transport
