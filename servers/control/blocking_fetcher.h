#pragma once

// The HTTP client of the operators' programs.

#include <vector>

#include "servers/control/fetcher.h"

namespace firefly {

// A Fetcher on libcurl. Runs its own event loop during each call.
class BlockingFetcher : public Fetcher
{
public:
  BlockingFetcher();

  std::vector<FetchResult> FetchAll(std::vector<HttpCall> aCalls) override;
  void Sleep(Duration aSpan) override;
  [[nodiscard]] Instant Now() const override;

private:
  void RunUntilStopped();

  AsioExecutor mExecutor;
  CurlClient mClient;
};

} // namespace firefly
