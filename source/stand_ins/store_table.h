#pragma once

#include <condition_variable>
#include <cstdint>
#include <map>
#include <string>

#include "core/common/clock.h"
#include "core/common/ranked_mutex.h"
#include "core/transport/http_message.h"

namespace lycheegap::stand_ins {

/// A value with its revision; it expires at `lease_deadline`.
struct stored_value {
    std::uint64_t revision{0};
    std::string data;
    common::time_point lease_deadline{common::time_point::max()};
};

/// Faults that tests inject through /control.
struct store_faults {
    /// Every call gets status 503.
    bool outage{false};
    /// Writes take effect at once, but their responses are delayed by this long.
    int lost_answer_delay_ms{0};
    /// Delay before every call.
    int delay_ms{0};
};

/// State of the store stand-in, guarded by `mutex`.
struct store_table {
    common::ranked_mutex mutex{common::lock_rank::leaf};
    std::condition_variable_any changed;
    std::map<std::string, stored_value, std::less<>> values;
    store_faults faults;
    std::uint64_t next_revision{1};
    std::uint64_t calls{0};
    std::uint64_t writes{0};
    bool stopping{false};
};

/// Handles one HTTP request: /v1/values/KEY (GET with after= and wait_ms= for a long poll, PUT with
/// x-expected-revision and x-lease-ms), /control?outage=&delay_ms=&lost_answer_delay_ms= and /counts.
transport::http_response serve_store(store_table& store, const transport::http_request& request);

/// Ends all waits, so that the handlers return.
void stop_store(store_table& store);

} // namespace lycheegap::stand_ins
