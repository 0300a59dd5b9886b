#pragma once

#include "core/schema/generated/operators_generated.h"

namespace lycheegap::host {

struct host_state;

/// Snapshot of this process's state for operators, without keys or secrets.
schema::host_dump_t make_dump(host_state& host);

} // namespace lycheegap::host
