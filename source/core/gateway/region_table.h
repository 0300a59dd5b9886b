#pragma once

#include <span>
#include <string>
#include <string_view>

#include "gateway_state.h"

namespace lycheegap::gateway {

/// Periodic task: measures the regions of each service and decides how its requests are divided over them,
/// once per `traffic::region_interval`. A service with few endpoints is not divided.
void update_regions(gateway_state& state);

/// Region whose endpoints serve the request, among the allowed ones (empty allows all); empty if the service
/// is not divided.
std::string select_region(gateway_state& state, std::string_view service, std::string_view object_key,
                          std::span<const std::string> allowed);

/// Whether a request without room in its region may be sent to another one: a few may, and all when the
/// region itself is hardly available.
bool may_leave_region(gateway_state& state, std::string_view service, std::string_view region);

} // namespace lycheegap::gateway
