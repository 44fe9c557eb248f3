#pragma once

// An in-process log for tests. It simulates latency, outages, lost requests,
// answers lost after an append took effect, late appends, retention and
// partitioned clients. All faults are drawn from a seed and follow the virtual
// clock.

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

// The log. Each process gets its own client.
class FakeLog
{
public:
  struct Options
  {
    std::uint64_t seed = 1;
    // The mean one-way delay. Each message takes between 0.5 and 1.5 times as
    // long.
    Duration latency = std::chrono::milliseconds(10);
    // How long a client waits for an answer before it reports kUnknown.
    Duration timeout = std::chrono::seconds(1);
    // Probabilities of faults for each call.
    double lostRequest = 0; // the call has no effect and no answer
    double lostAnswer = 0;  // the append takes effect without an answer
    double lateAppend = 0;  // the append takes effect after the time-out
    // The maximum delay of a late append after the time-out.
    Duration lateness = std::chrono::seconds(5);
    // How long records are kept; 0 keeps them until Trim().
    Duration retention{};
  };

  FakeLog(const Options& aOptions, VirtualExecutor& aExecutor);

  FakeLog(const FakeLog&) = delete;
  FakeLog& operator=(const FakeLog&) = delete;
  ~FakeLog();

  // Creates a client, which the log owns. Callbacks run on the executor of the
  // client's process, which must outlive the use of the log.
  LogClient& MakeClient(const std::string& aName, Executor& aExecutor);

  // Sets the probabilities of faults for further calls.
  void SetFaults(double aLostRequest, double aLostAnswer, double aLateAppend);
  // While the log is down, all calls fail with kUnavailable.
  void SetDown(bool aDown) { mDown = aDown; }
  // While a client is partitioned from the log, its calls have no effect and no
  // answer.
  void SetPartitioned(const std::string& aClient, bool aIsPartitioned);
  // Removes the stream's records before the offset.
  void Trim(const StreamName& aStream, LogOffset aBefore);

  // A copy of all streams, and the return to it: what was appended since is
  // gone, and a new era begins.
  using Copy = std::map<StreamName, std::size_t>;
  [[nodiscard]] Copy MakeCopy() const;
  void Restore(const Copy& aCopy);

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
    std::vector<std::string> payloads; // of the records from `first` on
  };

  LogOffset Store(const StreamName& aStream,
                  const std::vector<std::string>& aPayloads);
  tl::expected<LogBatch, LogError> Fetch(const StreamName& aStream,
                                         LogOffset aFrom,
                                         std::size_t aLimit);
  void After(Duration aDelay, std::function<void()> aCallback);
  Duration Latency();
  bool IsPartitioned(const std::string& aClient) const;

  Options mOptions;
  VirtualExecutor& mExecutor;
  Random mRandom;
  std::vector<std::unique_ptr<Client>> mClients;
  std::map<StreamName, Stream> mStreams;
  std::map<std::string, bool> mPartitioned;
  bool mDown = false;
  LogEra mEra;
  std::uint64_t mAppends = 0;
  std::uint64_t mReads = 0;
  std::uint64_t mAppendedBytes = 0;
};

} // namespace firefly::coord
