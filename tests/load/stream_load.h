#pragma once

// Streamed completions from many callers at once, with their times.

#include <cstddef>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "servers/http/http_client.h"

namespace firefly::testing {

// What one round of requests took.
struct LoadResult
{
  std::size_t whole = 0;
  std::size_t failed = 0;
  double seconds = 0;
  std::vector<double> firstTokenSeconds; // ascending
};

// The value below which that part of the ascending values lies.
double
Percentile(const std::vector<double>& aValues, double aPart);

// A bounded number of requests, a bounded number of them at once.
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

  // Runs until all requests have ended or the limit is over.
  LoadResult Run();

  // Starts all and returns when so many have had their first token.
  void RunUntilStreaming(std::size_t aStreams);

  // Runs on for a time.
  void RunFor(Duration aTime);

  [[nodiscard]] std::size_t Streaming() const { return mStreaming; }
  [[nodiscard]] std::size_t Failed() const { return mResult.failed; }
  [[nodiscard]] std::size_t Chunks() const { return mChunks; }

private:
  struct Request
  {
    HttpTransferPtr transfer;
    Instant started{};
    bool hadToken = false;
    std::string tail; // the answer's last bytes
  };

  void StartSome();
  void StartOne();
  void OnBody(std::size_t aIndex, std::string_view aBytes);
  void OnDone(std::size_t aIndex, bool aWhole);
  [[nodiscard]] bool Over() const;

  Options mOptions;
  AsioExecutor& mExecutor;
  CurlClient mClient;
  std::map<std::size_t, Request> mRunning;
  std::vector<HttpTransferPtr> mEnded;
  std::size_t mStarted = 0;
  std::size_t mStreaming = 0;
  std::size_t mChunks = 0;
  Instant mBegin{};
  LoadResult mResult;
};

} // namespace firefly::testing
