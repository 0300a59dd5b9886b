#pragma once

#include <cstdint>

#include "core/catalog/catalog.h"
#include "generation.h"

namespace lycheegap::membership {

/// State that all hosts share through the store: members and configuration under one version, so that a
/// single compare-and-swap orders all edits and membership changes.
struct control_state {
    /// Incremented by each write; 0 before the first.
    std::uint64_t version{0};
    generation members;
    catalog::configuration configuration;
};

} // namespace lycheegap::membership
