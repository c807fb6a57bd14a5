#pragma once

#include <topaztack/base/error.hpp>
#include <topaztack/base/ids.hpp>
#include <topaztack/wire/http.hpp>

#include <chrono>

/// @file
/// Answers of the gateway's own.

namespace topaztack {

/// The status that promises: not run, and never will be.
inline constexpr unsigned statusNotRun = 503;
/// When to come back after the store gave no answer: its outages last seconds.
inline constexpr std::chrono::milliseconds storeRetryAfter { 1500 };

/// @brief A refusal that promises: not run, and never will be.
HttpResponse notRunResponse(const Error& error, const RequestId& id, std::chrono::milliseconds retryAfter);

/// @brief A failure after which the request may have run.
HttpResponse mayHaveRunResponse(const Error& error, const RequestId& id);

} // namespace topaztack
