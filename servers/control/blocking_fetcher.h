#pragma once

// The fetcher of the operators' programs.

#include <vector>

#include "servers/control/fetcher.h"

namespace firefly {

// The fetcher on libcurl.
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
