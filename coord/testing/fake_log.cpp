#include "coord/testing/fake_log.h"

#include <algorithm>
#include <utility>

namespace firefly::coord {

namespace {

LogError
Unavailable()
{
  return { .kind = LogErrorKind::kUnavailable, .message = "the log is down" };
}

LogError
Unknown()
{
  return { .kind = LogErrorKind::kUnknown, .message = "no answer" };
}

} // namespace

// Requests are delayed on the shared clock, but answers are delivered through
// the process's own executor, so that a paused process receives them late.
class FakeLog::Client : public LogClient
{
public:
  Client(FakeLog& aLog, std::string aName, Executor& aExecutor)
    : mLog(aLog)
    , mName(std::move(aName))
    , mExecutor(aExecutor)
  {
  }

  void Append(const StreamName& aStream,
              std::vector<std::string> aPayloads,
              AppendCallback aCallback) override;
  void Read(const StreamName& aStream,
            LogOffset aFrom,
            std::size_t aLimit,
            ReadCallback aCallback) override;

private:
  template<typename Result, typename Callback>
  void Answer(Duration aDelay, Result aResult, Callback aCallback);

  FakeLog& mLog;
  std::string mName;
  Executor& mExecutor;
};

template<typename Result, typename Callback>
void
FakeLog::Client::Answer(Duration aDelay, Result aResult, Callback aCallback)
{
  mLog.After(aDelay,
             [&executor = mExecutor,
              result = std::move(aResult),
              callback = std::move(aCallback)]() mutable {
               executor.Post(
                 [result = std::move(result), callback = std::move(callback)] {
                   callback(result);
                 });
             });
}

void
FakeLog::Client::Append(const StreamName& aStream,
                        std::vector<std::string> aPayloads,
                        AppendCallback aCallback)
{
  using Result = tl::expected<LogOffset, LogError>;
  auto& options = mLog.mOptions;
  if (mLog.mDown) {
    Answer(
      mLog.Latency() * 2, Result(tl::unexpected(Unavailable())), aCallback);
    return;
  }
  const bool isPartitioned = mLog.IsPartitioned(mName);
  if (isPartitioned || mLog.mRandom.Chance(options.lostRequest)) {
    Answer(options.timeout, Result(tl::unexpected(Unknown())), aCallback);
    return;
  }
  const bool late = mLog.mRandom.Chance(options.lateAppend);
  const bool lost = mLog.mRandom.Chance(options.lostAnswer);
  const auto there =
    late ? options.timeout +
             FromSeconds(ToSeconds(options.lateness) * mLog.mRandom.Uniform())
         : mLog.Latency();
  if (late || lost) {
    Answer(options.timeout, Result(tl::unexpected(Unknown())), aCallback);
    mLog.After(there, [&log = mLog, aStream, payloads = std::move(aPayloads)] {
      log.Store(aStream, payloads);
    });
    return;
  }
  mLog.After(there,
             [this, aStream, payloads = std::move(aPayloads), aCallback] {
               const Result result(mLog.Store(aStream, payloads));
               Answer(mLog.Latency(), result, aCallback);
             });
}

void
FakeLog::Client::Read(const StreamName& aStream,
                      LogOffset aFrom,
                      std::size_t aLimit,
                      ReadCallback aCallback)
{
  using Result = tl::expected<LogBatch, LogError>;
  if (mLog.mDown) {
    Answer(
      mLog.Latency() * 2, Result(tl::unexpected(Unavailable())), aCallback);
    return;
  }
  if (mLog.IsPartitioned(mName) ||
      mLog.mRandom.Chance(mLog.mOptions.lostRequest)) {
    Answer(mLog.mOptions.timeout, Result(tl::unexpected(Unknown())), aCallback);
    return;
  }
  mLog.After(mLog.Latency(), [this, aStream, aFrom, aLimit, aCallback] {
    const auto result = mLog.Fetch(aStream, aFrom, aLimit);
    Answer(mLog.Latency(), result, aCallback);
  });
}

FakeLog::FakeLog(const Options& aOptions, VirtualExecutor& aExecutor)
  : mOptions(aOptions)
  , mExecutor(aExecutor)
  , mRandom(aOptions.seed)
{
}

FakeLog::~FakeLog() = default;

LogClient&
FakeLog::MakeClient(const std::string& aName, Executor& aExecutor)
{
  mClients.push_back(std::make_unique<Client>(*this, aName, aExecutor));
  return *mClients.back();
}

void
FakeLog::SetFaults(double aLostRequest, double aLostAnswer, double aLateAppend)
{
  mOptions.lostRequest = aLostRequest;
  mOptions.lostAnswer = aLostAnswer;
  mOptions.lateAppend = aLateAppend;
}

void
FakeLog::SetPartitioned(const std::string& aClient, bool aIsPartitioned)
{
  mPartitioned[aClient] = aIsPartitioned;
}

void
FakeLog::Trim(const StreamName& aStream, LogOffset aBefore)
{
  auto& stream = mStreams[aStream];
  const auto end = stream.first + stream.payloads.size();
  const auto first = std::clamp(PositionOf(aBefore), stream.first, end);
  const auto dropped = static_cast<std::ptrdiff_t>(first - stream.first);
  stream.payloads.erase(stream.payloads.begin(),
                        stream.payloads.begin() + dropped);
  stream.first = first;
}

FakeLog::Copy
FakeLog::MakeCopy() const
{
  Copy copy;
  for (const auto& [name, stream] : mStreams) {
    copy[name] = stream.first + stream.payloads.size();
  }
  return copy;
}

void
FakeLog::Restore(const Copy& aCopy)
{
  mEra = LogEra(mEra.Value() + 1);
  for (auto& [name, stream] : mStreams) {
    const auto it = aCopy.find(name);
    const auto end = it == aCopy.end() ? 0 : it->second;
    stream.first = std::min<std::uint64_t>(stream.first, end);
    stream.payloads.resize(std::min(stream.payloads.size(),
                                    static_cast<std::size_t>(end) -
                                      static_cast<std::size_t>(stream.first)));
  }
}

LogOffset
FakeLog::End(const StreamName& aStream) const
{
  const auto it = mStreams.find(aStream);
  if (it == mStreams.end()) {
    return LogOffset(0);
  }
  return OffsetIn(mEra, it->second.first + it->second.payloads.size());
}

std::vector<LogRecord>
FakeLog::Records(const StreamName& aStream) const
{
  std::vector<LogRecord> records;
  const auto it = mStreams.find(aStream);
  if (it == mStreams.end()) {
    return records;
  }
  auto position = it->second.first;
  for (const auto& payload : it->second.payloads) {
    records.push_back(
      { .offset = OffsetIn(mEra, position++), .payload = payload });
  }
  return records;
}

LogOffset
FakeLog::Store(const StreamName& aStream,
               const std::vector<std::string>& aPayloads)
{
  auto& stream = mStreams[aStream];
  const auto first = OffsetIn(mEra, stream.first + stream.payloads.size());
  ++mAppends;
  for (const auto& it : aPayloads) {
    mAppendedBytes += it.size();
    stream.payloads.push_back(it);
  }
  if (mOptions.retention > Duration::zero()) {
    After(mOptions.retention, [this, aStream, end = End(aStream)] {
      if (EraOf(end) == mEra) {
        Trim(aStream, end);
      }
    });
  }
  return first;
}

tl::expected<LogBatch, LogError>
FakeLog::Fetch(const StreamName& aStream, LogOffset aFrom, std::size_t aLimit)
{
  ++mReads;
  const auto& stream = mStreams[aStream];
  const auto end = stream.first + stream.payloads.size();
  const bool oldest = aFrom == LogOffset(0);
  const bool isOtherEra = EraOf(aFrom) != mEra;
  if ((PositionOf(aFrom) < stream.first || isOtherEra) && !oldest) {
    return tl::unexpected(
      LogError{ .kind = LogErrorKind::kTrimmed, .message = "trimmed" });
  }
  LogBatch batch{ .records = {},
                  .first = OffsetIn(mEra, stream.first),
                  .end = OffsetIn(mEra, end) };
  auto position = std::max(PositionOf(aFrom), stream.first);
  for (; position < end && batch.records.size() < aLimit; ++position) {
    batch.records.push_back(
      { .offset = OffsetIn(mEra, position),
        .payload = stream.payloads.at(position - stream.first) });
  }
  return batch;
}

void
FakeLog::After(Duration aDelay, std::function<void()> aCallback)
{
  // Destroying the timer would cancel the call, so the callback owns the timer.
  auto timer = std::make_shared<Timer>();
  *timer = mExecutor.RunAfter(
    aDelay, [timer, callback = std::move(aCallback)] { callback(); });
}

Duration
FakeLog::Latency()
{
  return FromSeconds(ToSeconds(mOptions.latency) * (0.5 + mRandom.Uniform()));
}

bool
FakeLog::IsPartitioned(const std::string& aClient) const
{
  const auto it = mPartitioned.find(aClient);
  return it != mPartitioned.end() && it->second;
}

} // namespace firefly::coord
