#pragma once

#include <cstdint>

#include "core/catalog/catalog.h"
#include "generation.h"

namespace lycheegap::membership {

/// What all hosts agree on: members and configuration under one version, so that one compare-and-swap orders
/// every edit and every change of the members.
struct control_state {
    /// Rises by one with each write; 0 before the first.
    std::uint64_t version{0};
    generation members;
    catalog::configuration configuration;
};

} // namespace lycheegap::membership
