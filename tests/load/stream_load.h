#pragma once

// Generates streamed completion requests and measures their times.

#include <cstddef>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "servers/http/http_client.h"

namespace firefly::testing {

// The result of one round of requests.
struct LoadResult
{
  std::size_t whole = 0;
  std::size_t failed = 0;
  double seconds = 0;
  std::vector<double> firstTokenSeconds; // ascending
};

// Returns the value below which the fraction of the ascending values lies, or 0
// if there are none.
double
Percentile(const std::vector<double>& aValues, double aFraction);

// Sends a limited number of requests with limited concurrency.
class StreamLoad
{
public:
  struct Options
  {
    std::string url; // of an entry or an engine
    std::string model = "assistant";
    std::size_t requests = 1000;
    std::size_t atOnce = 16;
    int tokens = 16;
    Duration limit = std::chrono::seconds(30);
  };

  StreamLoad(const Options& aOptions, AsioExecutor& aExecutor);

  // Runs until all requests have ended or the time limit is reached.
  LoadResult Run();

  // Starts requests until aStreams have been started, and returns when that
  // many have received their first token, all requests have ended or the time
  // limit is reached.
  void RunUntilStreaming(std::size_t aStreams);

  // Continues to run for the given time.
  void RunFor(Duration aTime);

  // The number of streams that have received a first token, including those
  // that have ended since.
  [[nodiscard]] std::size_t Streaming() const { return mStreaming; }
  [[nodiscard]] std::size_t Failed() const { return mResult.failed; }
  [[nodiscard]] std::size_t Chunks() const { return mChunks; }

private:
  struct Request
  {
    HttpTransferPtr transfer;
    Instant started{};
    bool hasToken = false;
    std::string tail; // the last bytes of the answer, to find the end mark
  };

  void FillSlots();
  void StartRequest();
  void OnBody(std::size_t aIndex, std::string_view aBytes);
  void OnDone(std::size_t aIndex, bool aIsComplete);
  [[nodiscard]] bool IsOver() const;

  Options mOptions;
  AsioExecutor& mExecutor;
  CurlClient mClient;
  std::map<std::size_t, Request> mRunning;
  std::vector<HttpTransferPtr> mEnded;
  std::size_t mStarted = 0;
  std::size_t mStreaming = 0;
  std::size_t mChunks = 0;
  Instant mStartedAt{};
  LoadResult mResult;
};

} // namespace firefly::testing
