#pragma once

#include <condition_variable>
#include <cstdint>
#include <string>

#include "core/common/clock.h"
#include "core/common/ranked_mutex.h"
#include "core/transport/http_message.h"

namespace lycheegap::stand_ins {

/// Identity and settings of a platform endpoint; part of them goes into its entry in the store.
struct platform_registration {
    std::string id;
    std::string service;
    /// "ip:port" of the endpoint's listener.
    std::string address;
    /// Address in the store entry; empty means `address`.
    std::string advertised_address;
    std::string zone;
    /// "ip:port" of the store stand-in.
    std::string store_address;
    /// Requests that run at the same time; more are refused with 503.
    int capacity{6};
    /// TTL of the lease on the store entry.
    int lease_ms{3000};
    /// Service time of one request.
    int service_ms{40};
};

/// State of a platform endpoint, shared by its connection threads and guarded by `mutex`.
struct platform_endpoint {
    common::ranked_mutex mutex{common::lock_rank::leaf};
    std::condition_variable_any changed;
    platform_registration registration;
    /// Start of the process in Unix time; tells its entry from those of earlier processes with the same id.
    std::int64_t started_unix_ms{0};
    int running{0};
    bool draining{false};
    /// Value of Server-Limit in all answers: requests per second that it takes from all hosts together. Sent
    /// as it is, so that tests can send anything; empty sends no header.
    std::string named_limit;
    /// Number of further requests that run but whose responses are withheld beyond any client timeout.
    int silent_answers{0};
    bool stopping{false};
};

/// Handles one HTTP request: runs it and logs the run with the request's id, or refuses it as not executed.
/// /control?draining=&silent_answers=&service_ms=&limit= is for tests.
transport::http_response serve_platform_endpoint(platform_endpoint& endpoint,
                                                 const transport::http_request& request);

/// Registers the endpoint in the store and renews its lease until the endpoint stops.
void keep_endpoint_registered(platform_endpoint& endpoint);

/// Ends all waits, so that the handlers and `keep_endpoint_registered` return.
void stop_platform_endpoint(platform_endpoint& endpoint);

} // namespace lycheegap::stand_ins
