#pragma once

#include <optional>

#include "core/catalog/catalog.h"
#include "core/catalog/edit.h"
#include "core/membership/control_state.h"
#include "core/schema/codec.h"
#include "core/schema/generated/catalog_generated.h"
#include "core/schema/generated/control_generated.h"
#include "core/schema/generated/membership_generated.h"
#include "core/schema/generated/operators_generated.h"

namespace lycheegap::transport {

/// Converts records of the schema to the structs of catalog and membership, and back with `make_record`.
catalog::team_template parse_template(const schema::template_record_t& record);
catalog::team parse_team(const schema::team_record_t& record);
catalog::service parse_service(const schema::service_record_t& record);
/// Also checks the references and limits that the schema cannot express. On an error returns empty, and
/// `common::last_reason()` names the invalid record.
std::optional<catalog::configuration> parse_configuration(const schema::catalog_record_t& record);
/// Empty, with `common::last_reason()` set, unless the request holds exactly one edit.
std::optional<catalog::edit> parse_edit(const schema::edit_request_t& request);
membership::member parse_member(const schema::member_record_t& record);
membership::generation parse_generation(const schema::generation_record_t& record);

/// Decodes a control record from the store or from a peer; an empty value gives the initial state, version 0.
/// On an error returns empty and sets `common::last_reason()`; `peer` names the sender in it.
std::optional<membership::control_state> decode_control(schema::byte_view encoded, std::string_view peer);
/// Encodes a control record. `writer` is a random number that makes equal states of two writers differ.
schema::bytes encode_control(const membership::control_state& source, std::uint64_t writer);

schema::template_record_t make_record(const catalog::team_template& source);
schema::team_record_t make_record(const catalog::team& source);
schema::service_record_t make_record(const catalog::service& source);
schema::catalog_record_t make_record(const catalog::configuration& source);
schema::member_record_t make_record(const membership::member& source);
schema::generation_record_t make_record(const membership::generation& source);

} // namespace lycheegap::transport
