#include "servers/control/blocking_fetcher.h"

#include <utility>

namespace firefly {

BlockingFetcher::BlockingFetcher()
  : mClient(mExecutor, {})
{
}

std::vector<FetchResult>
BlockingFetcher::FetchAll(std::vector<HttpCall> aCalls)
{
  std::vector<FetchResult> results(aCalls.size(), tl::unexpected(HttpError{}));
  std::size_t left = aCalls.size();
  for (std::size_t n = 0; n < aCalls.size(); ++n) {
    mClient.Fetch(std::move(aCalls[n]), [&, n](FetchResult aResult) {
      results[n] = std::move(aResult);
      if (--left == 0) {
        mExecutor.Stop();
      }
    });
  }
  if (left > 0) {
    RunUntilStopped();
  }
  return results;
}

void
BlockingFetcher::Sleep(Duration aSpan)
{
  const Timer timer = mExecutor.RunAfter(aSpan, [this] { mExecutor.Stop(); });
  RunUntilStopped();
}

void
BlockingFetcher::RunUntilStopped()
{
  mExecutor.Context().restart();
  mExecutor.Run();
}

Instant
BlockingFetcher::Now() const
{
  return mExecutor.Now();
}

} // namespace firefly
