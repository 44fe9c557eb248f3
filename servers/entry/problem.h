#pragma once

// Error responses to callers as problem+json (RFC 9457). Each states whether
// the request may have run.

#include <string>

#include "core/clock.h"
#include "servers/http/http_message.h"

namespace firefly {

// Whether the request may have run at a backend server.
enum class Execution
{
  kNotRun,
  kUnknown,
};

struct Problem
{
  int status = 500;
  std::string type;  // the last part of the type's URN, such as "queue-full"
  std::string title; // the same for all problems of the type
  std::string detail = {};
  Execution execution = Execution::kNotRun;
  // Rounded up to whole seconds in the Retry-After header; zero for no header.
  Duration retryAfter{};
};

// Builds the response for a problem, with the request id in its body and
// headers.
HttpResponse
ToResponse(const Problem& aProblem, const std::string& aRequestId);

// Returns the JSON object for the error event of a stream.
std::string
ToErrorObject(const Problem& aProblem, const std::string& aRequestId);

} // namespace firefly
