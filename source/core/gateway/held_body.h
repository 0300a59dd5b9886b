#pragma once

#include <memory>
#include <string>

#include "core/transport/memory_budget.h"

namespace lycheegap::gateway {

/// Body of a request and the memory reserved for the request. Held once; each attempt is written from it.
struct held_body {
    std::string bytes;
    transport::memory_reservation memory;
};

using held_body_ptr = std::shared_ptr<const held_body>;

} // namespace lycheegap::gateway
