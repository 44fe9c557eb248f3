#pragma once

// A stand-in for the users' store: topics of records, the compacted ones by
// key, and faults that a soak switches on.

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

// What the store does wrong at the moment.
struct StoreFaults
{
  // It answers 503 and does nothing.
  bool busy = false;
  // Each answer waits so long.
  Duration delay{};
  // The part of appends that take effect and get no answer.
  double lostAnswers = 0;
  // The part of appends that take effect seconds later and get no answer.
  double lateAppends = 0;
};

class Store : private CallerHandler
{
public:
  Store(AsioExecutor& aExecutor, std::uint64_t aSeed);
  ~Store() override;

  // Opens a port of loopback.
  tl::expected<void, CallerServerError> Start();
  [[nodiscard]] std::uint16_t Port() const { return mServer.Port(); }

  void SetFaults(const StoreFaults& aFaults) { mFaults = aFaults; }
  [[nodiscard]] const StoreFaults& Faults() const { return mFaults; }

  // Sets a key of a compacted topic; without a value it is removed. False while
  // the store is away.
  bool Put(const std::string& aTopic,
           const std::string& aKey,
           const std::optional<std::string>& aValue);

  // Appends bytes that are no record of a compacted topic.
  void PutGarbage(const std::string& aTopic, std::string aBytes);

  // Forgets all records but the newest of each key.
  void Compact();

  [[nodiscard]] std::uint64_t Calls() const { return mCalls; }

private:
  struct Topic
  {
    // The records from the first offset on.
    std::deque<std::string> records;
    std::uint64_t first = 0;
    // Of compacted topics: each key's newest record and its offset.
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
  using Query = std::map<std::string, std::string>;

  void OnRequest(CallerRequest aRequest,
                 std::shared_ptr<CallerAnswer> aAnswer) override;
  void OnRejected(int /*aStatus*/, const std::string& /*aPeer*/) override {}

  void Append(const Query& aQuery,
              const std::string& aBody,
              const std::shared_ptr<CallerAnswer>& aAnswer);
  void Read(const Query& aQuery, const std::shared_ptr<CallerAnswer>& aAnswer);
  void Newest(const Query& aQuery,
              const std::shared_ptr<CallerAnswer>& aAnswer);
  std::uint64_t Add(const std::string& aTopic,
                    std::vector<std::string> aRecords);
  void AnswerReader(Reader& aReader);
  void Wake(const std::string& aTopic);
  void Send(const std::shared_ptr<CallerAnswer>& aAnswer,
            int aStatus,
            std::string aBody);

  AsioExecutor& mExecutor;
  Random mRandom;
  CallerServer mServer;
  StoreFaults mFaults;
  std::map<std::string, Topic> mTopics;
  std::list<Reader> mReaders;
  std::list<Timer> mLater;
  std::uint64_t mCalls = 0;
};

} // namespace firefly::soak
