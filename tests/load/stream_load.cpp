#include "tests/load/stream_load.h"

#include <algorithm>
#include <utility>

namespace firefly::testing {

namespace {

constexpr std::string_view kEndMark = "[DONE]\n\n";
constexpr Duration kPollInterval = std::chrono::milliseconds(10);

std::string
BodyFor(const StreamLoad::Options& aOptions, std::size_t aIndex)
{
  return R"({"model":")" + aOptions.model + R"(","prompt":"prompt )" +
         std::to_string(aIndex) + R"(","max_tokens":)" +
         std::to_string(aOptions.tokens) +
         R"(,"stream":true,"request_id":"l-)" + std::to_string(aIndex) +
         R"("})";
}

} // namespace

double
Percentile(const std::vector<double>& aValues, double aFraction)
{
  if (aValues.empty()) {
    return 0;
  }
  const auto last = static_cast<double>(aValues.size() - 1);
  return aValues[static_cast<std::size_t>(aFraction * last)];
}

StreamLoad::StreamLoad(const Options& aOptions, AsioExecutor& aExecutor)
  : mOptions(aOptions)
  , mExecutor(aExecutor)
  , mClient(aExecutor,
            { .maxPooledConnections = static_cast<long>(aOptions.atOnce) })
{
}

LoadResult
StreamLoad::Run()
{
  mStartedAt = mExecutor.Now();
  while (!IsOver()) {
    FillSlots();
    RunFor(kPollInterval);
  }
  mResult.seconds = ToSeconds(mExecutor.Now() - mStartedAt);
  std::sort(mResult.firstTokenSeconds.begin(), mResult.firstTokenSeconds.end());
  return mResult;
}

void
StreamLoad::RunUntilStreaming(std::size_t aStreams)
{
  constexpr std::size_t kStartsPerPoll = 100;
  mStartedAt = mExecutor.Now();
  while (mStreaming < aStreams && !IsOver()) {
    for (std::size_t i = 0; i < kStartsPerPoll && mStarted < aStreams; ++i) {
      StartRequest();
    }
    RunFor(kPollInterval);
  }
}

bool
StreamLoad::IsOver() const
{
  const bool ended =
    mStarted == mOptions.requests && mRunning.empty() && mStarted > 0;
  return ended || mExecutor.Now() - mStartedAt > mOptions.limit;
}

void
StreamLoad::RunFor(Duration aTime)
{
  const auto end = mExecutor.Now() + aTime;
  while (mExecutor.Now() < end) {
    mExecutor.Context().restart();
    mExecutor.Context().run_for(kPollInterval);
    mEnded.clear();
    if (mOptions.requests > mStarted && mRunning.size() < mOptions.atOnce) {
      FillSlots();
    }
  }
}

void
StreamLoad::FillSlots()
{
  while (mRunning.size() < mOptions.atOnce && mStarted < mOptions.requests) {
    StartRequest();
  }
}

void
StreamLoad::StartRequest()
{
  const auto index = mStarted++;
  HttpCall call;
  call.method = "POST";
  call.url = mOptions.url + "/v1/completions";
  call.body = BodyFor(mOptions, index);
  call.connectTimeout = mOptions.limit;
  call.totalTimeout = mOptions.limit;
  auto& request = mRunning[index];
  request.started = mExecutor.Now();
  request.transfer = mClient.Stream(
    std::move(call),
    { .onHead = {},
      .onBody = [this,
                 index](std::string_view aBytes) { OnBody(index, aBytes); },
      .onDone =
        [this, index](const tl::expected<void, HttpError>& aDone) {
          OnDone(index, aDone.has_value());
        } });
}

void
StreamLoad::OnBody(std::size_t aIndex, std::string_view aBytes)
{
  auto& request = mRunning.at(aIndex);
  ++mChunks;
  if (!std::exchange(request.hasToken, true)) {
    ++mStreaming;
    mResult.firstTokenSeconds.push_back(
      ToSeconds(mExecutor.Now() - request.started));
  }
  request.tail += aBytes;
  if (request.tail.size() > kEndMark.size()) {
    request.tail.erase(0, request.tail.size() - kEndMark.size());
  }
}

void
StreamLoad::OnDone(std::size_t aIndex, bool aIsComplete)
{
  auto& request = mRunning.at(aIndex);
  const bool whole = aIsComplete && request.tail == kEndMark;
  mResult.whole += whole ? 1 : 0;
  mResult.failed += whole ? 0 : 1;
  mEnded.push_back(std::move(request.transfer));
  mRunning.erase(aIndex);
  FillSlots();
}

} // namespace firefly::testing
