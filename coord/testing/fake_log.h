#pragma once

// An in-process log for tests: latency, outages, lost requests, answers lost
// after the append took effect, late appends, retention and cut links, all
// seeded and on the virtual clock.

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "coord/log_client.h"
#include "core/random.h"
#include "core/virtual_executor.h"

namespace firefly::coord {

// The log; clients of it are made per process.
class FakeLog
{
public:
  struct Options
  {
    std::uint64_t seed = 1;
    // One way; each message takes between the half and one and a half.
    Duration latency = std::chrono::milliseconds(10);
    // When a client gives up on an answer.
    Duration timeout = std::chrono::seconds(1);
    double lostRequest = 0; // the append never takes effect
    double lostAnswer = 0;  // it takes effect, the client gets kUnknown
    double lateAppend = 0;  // it takes effect after the client gave up
    // How much later than the time-out at the most.
    Duration lateness = std::chrono::seconds(5);
  };

  FakeLog(const Options& aOptions, VirtualExecutor& aExecutor);

  FakeLog(const FakeLog&) = delete;
  FakeLog& operator=(const FakeLog&) = delete;
  ~FakeLog();

  // A client, owned by the log; callbacks run on the executor, which is that
  // of its process and must outlive the log's use.
  LogClient& MakeClient(const std::string& aName, Executor& aExecutor);

  // The faults from now on.
  void SetFaults(double aLostRequest, double aLostAnswer, double aLateAppend);
  // Down: all calls fail with kUnavailable.
  void SetDown(bool aDown) { mDown = aDown; }
  // Cut: the client's calls get no answer and no effect.
  void SetCut(const std::string& aClient, bool aCut);
  // Drops the stream's records before the offset.
  void Trim(const StreamName& aStream, LogOffset aBefore);

  [[nodiscard]] LogOffset End(const StreamName& aStream) const;
  // The kept records.
  [[nodiscard]] std::vector<LogRecord> Records(const StreamName& aStream) const;

  [[nodiscard]] std::uint64_t Appends() const { return mAppends; }
  [[nodiscard]] std::uint64_t Reads() const { return mReads; }
  [[nodiscard]] std::uint64_t AppendedBytes() const { return mAppendedBytes; }

private:
  class Client;
  struct Stream
  {
    std::uint64_t first = 0;
    std::vector<std::string> payloads; // from first on
  };

  LogOffset Store(const StreamName& aStream,
                  const std::vector<std::string>& aPayloads);
  tl::expected<LogBatch, LogError> Fetch(const StreamName& aStream,
                                         LogOffset aFrom,
                                         std::size_t aLimit);
  void After(Duration aDelay, std::function<void()> aCallback);
  Duration Latency();
  bool Cut(const std::string& aClient) const;

  Options mOptions;
  VirtualExecutor& mExecutor;
  Random mRandom;
  std::vector<std::unique_ptr<Client>> mClients;
  std::map<StreamName, Stream> mStreams;
  std::map<std::string, bool> mCut;
  bool mDown = false;
  std::uint64_t mAppends = 0;
  std::uint64_t mReads = 0;
  std::uint64_t mAppendedBytes = 0;
};

} // namespace firefly::coord
