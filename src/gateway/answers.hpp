#pragma once

#include <topaztack/base/error.hpp>
#include <topaztack/base/ids.hpp>
#include <topaztack/wire/http.hpp>

#include <chrono>

/// @file
/// Answers of the gateway's own.

namespace topaztack {

/// @brief A refusal that promises: not run, and never will be.
HttpResponse notRunAnswer(const Error& error, const RequestId& id, std::chrono::milliseconds retryAfter);

/// @brief A failure after which the request may have run.
HttpResponse mayHaveRunAnswer(const Error& error, const RequestId& id);

} // namespace topaztack
