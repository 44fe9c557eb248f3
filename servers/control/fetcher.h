#pragma once

// Blocking HTTP for the operators' programs, which do one thing at a time.

#include <memory>
#include <vector>

#include <tl/expected.hpp>

#include "core/clock.h"
#include "servers/http/http_client.h"

namespace firefly {

using FetchResult = tl::expected<HttpResult, HttpError>;

// Calls and waiting, as an interface so that tests can answer in its place.
class Fetcher
{
public:
  virtual ~Fetcher() = default;

  // Makes all calls at once and returns when each has its result, in the order
  // of the calls.
  virtual std::vector<FetchResult> FetchAll(std::vector<HttpCall> aCalls) = 0;

  virtual void Sleep(Duration aSpan) = 0;

  [[nodiscard]] virtual Instant Now() const = 0;

  // Makes one call.
  FetchResult Fetch(HttpCall aCall);
};

} // namespace firefly
