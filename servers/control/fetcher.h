#pragma once

// Blocking HTTP calls for the operators' programs, which run one command and
// exit.

#include <memory>
#include <vector>

#include <tl/expected.hpp>

#include "core/clock.h"
#include "servers/http/http_client.h"

namespace firefly {

using FetchResult = tl::expected<HttpResult, HttpError>;

// HTTP calls and waiting. An interface, so that tests can replace the network
// and the clock.
class Fetcher
{
public:
  virtual ~Fetcher() = default;

  // Makes all calls concurrently and returns when all have finished. The
  // results have the order of the calls.
  virtual std::vector<FetchResult> FetchAll(std::vector<HttpCall> aCalls) = 0;

  virtual void Sleep(Duration aSpan) = 0;

  [[nodiscard]] virtual Instant Now() const = 0;

  // Makes one call.
  FetchResult Fetch(HttpCall aCall);
};

} // namespace firefly
