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

/// Records of the schema to the structs of the decisions and back. Parsing checks what the schema cannot.
catalog::team_template parse_template(const schema::template_record_t& record);
catalog::team parse_team(const schema::team_record_t& record);
catalog::service parse_service(const schema::service_record_t& record);
/// The reason names the record that is not valid.
std::optional<catalog::configuration> parse_configuration(const schema::catalog_record_t& record);
/// The reason tells when not exactly one edit is given.
std::optional<catalog::edit> parse_edit(const schema::edit_request_t& request);
membership::member parse_member(const schema::member_record_t& record);
membership::generation parse_generation(const schema::generation_record_t& record);

/// The control record as it stands in the store or comes from a peer; an empty value is version 0.
std::optional<membership::control_state> decode_control(schema::byte_view encoded, std::string_view peer);
/// `writer` makes the value unique.
schema::bytes encode_control(const membership::control_state& source, std::uint64_t writer);

schema::template_record_t make_record(const catalog::team_template& source);
schema::team_record_t make_record(const catalog::team& source);
schema::service_record_t make_record(const catalog::service& source);
schema::catalog_record_t make_record(const catalog::configuration& source);
schema::member_record_t make_record(const membership::member& source);
schema::generation_record_t make_record(const membership::generation& source);

} // namespace lycheegap::transport
