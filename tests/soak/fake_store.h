#pragma once

// A fake of the users' store, in memory: topics of records, some of them
// compacted by key, with faults that a soak switches on and off.

#include <cstdint>
#include <deque>
#include <functional>
#include <list>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "core/random.h"
#include "servers/http1/caller_server.h"

namespace firefly::soak {

// The faults that are switched on.
struct StoreFaults
{
  // Each call is answered 503 and has no effect.
  bool isUnavailable = false;
  // The delay of each answer.
  Duration delay{};
  // The share of appends that take effect and get no answer.
  double lostAnswerRate = 0;
  // The share of appends that take effect 1 to 4 s later and get no answer.
  double lateAppendRate = 0;
};

class FakeStore : private CallerHandler
{
public:
  FakeStore(AsioExecutor& aExecutor, std::uint64_t aSeed);
  ~FakeStore() override;

  // Listens on a loopback port.
  tl::expected<void, CallerServerError> Start();
  [[nodiscard]] std::uint16_t Port() const { return mServer.Port(); }

  void SetFaults(const StoreFaults& aFaults) { mFaults = aFaults; }
  [[nodiscard]] const StoreFaults& Faults() const { return mFaults; }

  // Sets a key of a compacted topic, or removes it if there is no value.
  // Returns false while the store is unavailable.
  bool Put(const std::string& aTopic,
           const std::string& aKey,
           const std::optional<std::string>& aValue);

  // Appends bytes that need not be a valid record, also while the store is
  // unavailable.
  void AppendGarbage(const std::string& aTopic, std::string aBytes);

  // Drops the records of all compacted topics from the log; the newest value of
  // each key stays available.
  void Compact();

  // Returns to a copy that is about so old. What operators and backend servers
  // have written since is written again soon after; the rest is lost, and
  // offsets are given out again. Answers name the new era.
  void Restore(Duration aAge);

  [[nodiscard]] std::uint64_t Calls() const { return mCalls; }

private:
  struct Topic
  {
    // The kept records; the offset of the front one is `first`.
    std::deque<std::string> records;
    std::uint64_t first = 0;
    // The newest value of each key and its offset, for compacted topics.
    std::map<std::string, std::pair<std::string, std::uint64_t>> newest;

    [[nodiscard]] std::uint64_t End() const { return first + records.size(); }
  };
  struct Reader
  {
    std::string topic;
    std::uint64_t from = 0;
    std::shared_ptr<CallerAnswer> answer;
    Timer timer;
  };
  struct Copy
  {
    Instant at{};
    std::map<std::string, Topic> topics;
  };
  struct Write
  {
    Instant at{};
    std::string topic;
    std::string record;
  };
  using Query = std::map<std::string, std::string>;

  // Copies the topics regularly.
  void MakeCopies();
  // Writes the record again unless its key was written since the restore.
  void Rewrite(const Write& aWrite, Instant aRestored);

  void OnRequest(CallerRequest aRequest,
                 std::shared_ptr<CallerAnswer> aAnswer) override;
  void OnRejected(const CallerRejection& /*aRejection*/) override {}

  void OnAppend(const Query& aQuery,
                const std::string& aBody,
                const std::shared_ptr<CallerAnswer>& aAnswer);
  void OnRead(const Query& aQuery,
              const std::shared_ptr<CallerAnswer>& aAnswer);
  void OnNewest(const Query& aQuery,
                const std::shared_ptr<CallerAnswer>& aAnswer);
  std::uint64_t AddRecords(const std::string& aTopic,
                           std::vector<std::string> aRecords);
  void AnswerReader(Reader& aReader);
  void AnswerReaders(const std::string& aTopic);
  void Send(const std::shared_ptr<CallerAnswer>& aAnswer,
            int aStatus,
            std::string aBody);

  AsioExecutor& mExecutor;
  Random mRandom;
  CallerServer mServer;
  StoreFaults mFaults;
  std::map<std::string, Topic> mTopics;
  std::list<Reader> mReaders;
  std::list<Timer> mPendingTimers;
  std::uint64_t mCalls = 0;
  std::uint64_t mEra = 1;
  std::deque<Copy> mCopies;
  // What operators and backend servers have written, the oldest first.
  std::deque<Write> mWrites;
  Timer mCopyTimer;
};

} // namespace firefly::soak
