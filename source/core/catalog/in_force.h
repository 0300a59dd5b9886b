#pragma once

#include <set>
#include <string>

#include "catalog.h"

namespace lycheegap::catalog {

/// The configuration that a host applies while `latest` is in the store but not accepted yet. Each team has
/// the smaller of its two rates and bursts, and only the keys and services of both configurations; a team
/// without an accepted record is left out. So reductions apply at once, increases and new grants only
/// after acceptance.
configuration restrict_to_accepted(const configuration& accepted, const configuration& latest);

/// Removes withdrawn keys from the key index, so that they authenticate no team.
void exclude_keys(configuration& config, const std::set<std::string>& withdrawn_digests);

} // namespace lycheegap::catalog
