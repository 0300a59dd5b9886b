#pragma once

#include <set>
#include <string>

#include "catalog.h"

namespace lycheegap::catalog {

/// What a host applies while `latest` is recorded and not accepted: of each team the smaller rate and burst,
/// and the keys and services that both configurations grant. Gains wait, losses apply at once.
configuration narrow(const configuration& accepted, const configuration& latest);

/// Takes withdrawn keys out of the index of keys.
void exclude_keys(configuration& target, const std::set<std::string>& withdrawn_digests);

} // namespace lycheegap::catalog
