#pragma once

#include <topaztack/base/error.hpp>
#include <topaztack/base/ids.hpp>
#include <topaztack/wire/http.hpp>

#include <chrono>

/// @file
/// Error responses that the gateway itself produces.

namespace topaztack {

/// Status which guarantees that the request was not run and never will be.
inline constexpr unsigned statusNotRun = 503;
/// Retry-After of a request that failed because the store didn't respond; the store's outages last seconds.
inline constexpr std::chrono::milliseconds storeRetryAfter { 1500 };
/// Retry-After of a request for which this VM's configuration may be too old.
inline constexpr std::chrono::milliseconds notReadyRetryAfter { 300 };

/// @brief A response which guarantees that the request was not run and never will be.
HttpResponse notRunResponse(const Error& error, const RequestId& id, std::chrono::milliseconds retryAfter);

/// @brief A response to a request that failed but may have run.
HttpResponse mayHaveRunResponse(const Error& error, const RequestId& id);

} // namespace topaztack
