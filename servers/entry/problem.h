#pragma once

// What a caller is told when there is no answer: problem+json (RFC 9457) with
// the truth about whether the request ran.

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
  std::string type;  // a slug, such as "queue-full"
  std::string title; // the same for all problems of the type
  std::string detail = {};
  Execution execution = Execution::kNotRun;
  Duration retryAfter{}; // zero: no Retry-After
};

// The answer for a problem; the request id goes into body and header.
HttpResponse
ToResponse(const Problem& aProblem, const std::string& aRequestId);

// The problem as the JSON object of a stream's error event.
std::string
ToErrorObject(const Problem& aProblem, const std::string& aRequestId);

} // namespace firefly
