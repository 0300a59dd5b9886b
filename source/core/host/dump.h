#pragma once

#include "core/schema/generated/operators_generated.h"

namespace lycheegap::host {

struct host_state;

/// State of this process at this moment, without keys or secrets.
schema::host_dump_t make_dump(host_state& host);

} // namespace lycheegap::host
