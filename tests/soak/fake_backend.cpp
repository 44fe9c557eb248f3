#include "tests/soak/fake_backend.h"

#include <algorithm>
#include <charconv>
#include <utility>

#include <nlohmann/json.hpp>

#include "platform/wire_names.h"

namespace firefly::soak {

namespace {

namespace wire = platform::wire;

constexpr std::string_view kServersTopic = "keyed.servers";
// The share of answers that are sent again before the next one on their
// connection.
constexpr double kRepeatedAnswerShare = 0.03;
constexpr Duration kHeartbeatInterval = std::chrono::milliseconds(1200);
// The store removes a record after three missed heartbeats.
constexpr Duration kRecordExpiry = 3 * kHeartbeatInterval;
// From the accepted record that it is leaving until its end: the drain time of
// the users' documentation plus a reserve.
constexpr Duration kTimeUntilEnd = std::chrono::milliseconds(4500);
constexpr Duration kStageChange = std::chrono::milliseconds(800);
constexpr Duration kKvCacheHoldTime = std::chrono::seconds(5);
constexpr Duration kPlainWorkTime = std::chrono::milliseconds(15);
constexpr Duration kPrefillTime = std::chrono::milliseconds(30);
constexpr Duration kEventInterval = std::chrono::milliseconds(50);
constexpr int kOk = 200;
constexpr int kFailed = 500;
constexpr int kUnavailable = 503;
constexpr int kAccepted = 202;
constexpr int kFenced = 412;

std::uint64_t
ReadNumber(std::string_view aText)
{
  std::uint64_t number = 0;
  std::from_chars(aText.data(), aText.data() + aText.size(), number);
  return number;
}

} // namespace

// One request that the backend server is processing.
class FakeBackend::Run : private CallerObserver
{
public:
  Run(FakeBackend& aBackend,
      RequestId aId,
      std::shared_ptr<CallerAnswer> aAnswer,
      std::optional<std::uint32_t> aAfterEvent)
    : mBackend(aBackend)
    , mId(std::move(aId))
    , mAnswer(std::move(aAnswer))
    , mEvent(aAfterEvent)
  {
    mAnswer->Observe(this);
    mBackend.mChecker.OnRunBegan(mBackend.mId, mId, mBackend.mExecutor.Now());
    mTimer = mBackend.mExecutor.RunAfter(mBackend.DrawWorkTime(kPlainWorkTime),
                                         [this] { Step(); });
  }

  ~Run() override
  {
    mAnswer->Observe(nullptr);
    if (!mEnded) {
      mBackend.mChecker.OnRunEnded(
        mBackend.mId, mId, true, mBackend.mExecutor.Now());
    }
  }
  Run(const Run&) = delete;
  Run& operator=(const Run&) = delete;

private:
  void OnCallerGone() override { End(); }
  void OnOutputAccepted() override {}

  [[nodiscard]] HttpHeaders Headers() const
  {
    return { { std::string(wire::kRequestId), mId.Value() },
             { std::string(wire::kStamp), mBackend.mId + "." + mId.Value() } };
  }

  void Step()
  {
    if (!mBegun && mBackend.mRandom.Chance(mBackend.mFaults.failureRate)) {
      mAnswer->Send(kFailed, "Internal Server Error", Headers(), "failed");
      End();
      return;
    }
    if (mBackend.mRandom.Chance(mBackend.mFaults.lostAnswerRate)) {
      mAnswer->Abort();
      End(true);
      return;
    }
    if (!mEvent) {
      mAnswer->Send(kOk, "OK", Headers(), PromiseChecker::PlainBody(mId));
      End();
      return;
    }
    if (!std::exchange(mBegun, true)) {
      auto headers = Headers();
      headers.push_back({ "Content-Type", "text/event-stream" });
      mAnswer->Begin(kOk, "OK", headers, std::nullopt);
    }
    if (++*mEvent <= PromiseChecker::EventCount(mId)) {
      mAnswer->Write(PromiseChecker::Event(mId, *mEvent));
    }
    if (*mEvent >= PromiseChecker::EventCount(mId)) {
      mAnswer->Finish();
      End();
      return;
    }
    mTimer = mBackend.mExecutor.RunAfter(mBackend.DrawWorkTime(kEventInterval),
                                         [this] { Step(); });
  }

  void End(bool aBrokenOff = false)
  {
    mEnded = true;
    mTimer.Cancel();
    mBackend.mChecker.OnRunEnded(
      mBackend.mId, mId, aBrokenOff, mBackend.mExecutor.Now());
    mBackend.mExecutor.Post([backend = &mBackend, run = this] {
      std::erase_if(backend->mRuns,
                    [&](const auto& aIt) { return aIt.get() == run; });
    });
  }

  FakeBackend& mBackend;
  RequestId mId;
  std::shared_ptr<CallerAnswer> mAnswer;
  // The number of the last event that was sent; empty for a plain answer.
  std::optional<std::uint32_t> mEvent;
  bool mBegun = false;
  bool mEnded = false;
  Timer mTimer;
};

FakeBackend::FakeBackend(AsioExecutor& aExecutor,
                         Options aOptions,
                         FakeStore& aStore,
                         PromiseChecker& aChecker,
                         FakeBackendMap& aBackendsByAddress)
  : mExecutor(aExecutor)
  , mOptions(std::move(aOptions))
  , mStore(aStore)
  , mChecker(aChecker)
  , mBackendsByAddress(aBackendsByAddress)
  , mRandom(mOptions.seed)
  , mServer(aExecutor, { .liveness = {}, .limits = {} }, *this)
{
}

FakeBackend::~FakeBackend()
{
  mBackendsByAddress.erase(Address());
  AbortRuns();
}

tl::expected<void, CallerServerError>
FakeBackend::Start()
{
  if (auto started = mServer.Start(); !started) {
    return started;
  }
  mProxy = std::make_unique<TcpProxy>(
    mExecutor, "127.0.0.1", mServer.Port(), mOptions.seed);
  mProxy->RepeatAnswers(kRepeatedAnswerShare);
  mBackendsByAddress[Address()] = this;
  StartInstance();
  return {};
}

std::string
FakeBackend::Address() const
{
  return "127.0.0.1:" + std::to_string(mProxy ? mProxy->Port() : 0);
}

void
FakeBackend::StartInstance()
{
  mId = mOptions.service + "-" + std::to_string(mRandom.Below(1'000'000'000));
  if (IsEngine() && mStartedAt > 0) {
    // A restarted engine starts in a random stage, so that relays have to order
    // a change of stage.
    mOptions.stage = mRandom.Chance(0.5) ? "prefill" : "decode";
  }
  mStartedAt =
    static_cast<std::uint64_t>(mExecutor.WallNow().time_since_epoch().count());
  mIsUp = true;
  mIsLeaving = false;
  mFence = 0;
  mKvCaches.clear();
  mProxy->SetFaults({});
  Heartbeat();
}

void
FakeBackend::Heartbeat()
{
  mHeartbeatTimer =
    mExecutor.RunAfter(kHeartbeatInterval, [this] { Heartbeat(); });
  if (!mIsUp || mIsUnreachable) {
    return;
  }
  nlohmann::json record{ { "service", mOptions.service },
                         { "address", Address() },
                         { "zone", mOptions.zone },
                         { "version", "v1" },
                         { "slots", mOptions.slots },
                         { "state", mIsLeaving ? "draining" : "ready" },
                         { "coldLeftMs", 0 },
                         { "seqNo", ++mRecordSequence },
                         { "born", mStartedAt } };
  if (IsEngine()) {
    record["stage"] = mOptions.stage;
    record["models"] = { { { "name", "m" }, { "version", 1 } } };
  }
  const bool accepted =
    mStore.Put(std::string(kServersTopic), mId, record.dump());
  if (accepted && mIsLeaving) {
    mChecker.OnLeaving(mId, mExecutor.Now());
    if (!mLifecycleTimer.IsPending()) {
      mLifecycleTimer = mExecutor.RunAfter(
        kTimeUntilEnd, [this] { Crash(std::chrono::seconds(2)); });
    }
  }
}

void
FakeBackend::Leave()
{
  mIsLeaving = true;
  Heartbeat();
}

void
FakeBackend::Crash(Duration aDowntime)
{
  if (!mIsUp) {
    return;
  }
  mIsUp = false;
  mProxy->SetFaults({ .resetNewConnections = true });
  mProxy->Reset(1);
  AbortRuns();
  // The store removes the record of the crashed instance after its expiry.
  const auto id = mId;
  mPendingTimers.push_back(mExecutor.RunAfter(kRecordExpiry, [this, id] {
    if (mStore.Put(std::string(kServersTopic), id, std::nullopt)) {
      mChecker.OnLeaving(id, mExecutor.Now());
    }
  }));
  mLifecycleTimer = mExecutor.RunAfter(aDowntime, [this] { StartInstance(); });
}

void
FakeBackend::BecomeUnreachable(Duration aDuration)
{
  if (!mIsUp) {
    return;
  }
  mIsUnreachable = true;
  mProxy->SetFaults({ .silentToServer = true, .silentFromServer = true });
  mPendingTimers.push_back(mExecutor.RunAfter(aDuration, [this] {
    mIsUnreachable = false;
    if (mIsUp) {
      mProxy->SetFaults({});
    }
  }));
}

void
FakeBackend::AbortRuns()
{
  mRuns.clear();
}

Duration
FakeBackend::DrawWorkTime(Duration aMean)
{
  return FromSeconds(ToSeconds(aMean) * mFaults.slowdownFactor *
                     (0.5 + mRandom.Uniform()));
}

void
FakeBackend::RefuseAsNotRun(CallerAnswer& aAnswer,
                            int aStatus,
                            std::string_view aId) const
{
  HttpHeaders headers{ { std::string(wire::kNotRun), "1" } };
  if (!aId.empty()) {
    headers.push_back({ std::string(wire::kRequestId), std::string(aId) });
  }
  aAnswer.Send(aStatus, "", headers, "");
}

void
FakeBackend::OnRequest(CallerRequest aRequest,
                       std::shared_ptr<CallerAnswer> aAnswer)
{
  const auto& headers = aRequest.head.headers;
  const auto& target = aRequest.head.target;
  const auto requestId = FindHeader(headers, wire::kRequestId);
  if (FindHeader(headers, wire::kExpectInstance) != mId &&
      !target.starts_with("/-/kv-handle/")) {
    RefuseAsNotRun(*aAnswer, wire::kMisdirected, requestId);
    return;
  }
  if (target == "/-/order") {
    OnOrder(aRequest, *aAnswer);
    return;
  }
  if (target.starts_with("/-/kv-handle/")) {
    mKvCaches.erase(target.substr(target.rfind('/') + 1));
    aAnswer->Send(kOk, "OK", {}, "");
    return;
  }
  const RequestId id{ std::string(requestId) };
  const auto deadline = FindHeader(headers, wire::kDeadlineMs);
  ObservedArrival arrival{ .backend = mId,
                           .id = id,
                           .method = aRequest.head.method,
                           .target = target,
                           .body = aRequest.body,
                           .deadline = std::nullopt };
  if (!deadline.empty()) {
    arrival.deadline = std::chrono::milliseconds(ReadNumber(deadline));
  }
  mChecker.OnArrival(arrival, mExecutor.Now());
  const auto stage = FindHeader(headers, wire::kStage);
  if (IsEngine() && (stage == "prefill") != (mOptions.stage == "prefill")) {
    RefuseAsNotRun(*aAnswer, wire::kMisdirected, requestId);
    return;
  }
  if (mRuns.size() >= mOptions.slots) {
    RefuseAsNotRun(*aAnswer, kUnavailable, requestId);
    return;
  }
  if (stage == "prefill") {
    Prefill(id, aAnswer);
    return;
  }
  const auto source = FindHeader(headers, wire::kKvSource);
  if (!source.empty() && !TakeKvCache(source, id)) {
    RefuseAsNotRun(*aAnswer, kUnavailable, requestId);
    return;
  }
  std::optional<std::uint32_t> after;
  if (IsEngine()) {
    after = static_cast<std::uint32_t>(
      ReadNumber(FindHeader(headers, wire::kLastEventId)));
  }
  mRuns.push_back(std::make_unique<Run>(*this, id, std::move(aAnswer), after));
}

void
FakeBackend::Prefill(const RequestId& aId,
                     const std::shared_ptr<CallerAnswer>& aAnswer)
{
  std::erase_if(mPendingTimers,
                [](const auto& aTimer) { return !aTimer.IsPending(); });
  mPendingTimers.push_back(
    mExecutor.RunAfter(DrawWorkTime(kPrefillTime), [this, aId, aAnswer] {
      if (!mIsUp) {
        return;
      }
      const auto handle = std::to_string(mRandom.Next());
      mKvCaches[handle] = { .owner = aId,
                            .expiry = mExecutor.RunAfter(
                              kKvCacheHoldTime,
                              [this, handle] { mKvCaches.erase(handle); }) };
      aAnswer->Send(kOk,
                    "OK",
                    { { "Content-Type", "application/json" },
                      { std::string(wire::kRequestId), aId.Value() } },
                    nlohmann::json{ { "kvHandle", handle },
                                    { "tokens", 1 },
                                    { "version", 1 } }
                      .dump());
    }));
}

bool
FakeBackend::TakeKvCache(std::string_view aSource, const RequestId& aId)
{
  const auto slash = aSource.find('/');
  const auto it =
    mBackendsByAddress.find(std::string(aSource.substr(0, slash)));
  if (it == mBackendsByAddress.end() || slash == std::string_view::npos) {
    return false;
  }
  auto& caches = it->second->mKvCaches;
  const auto cache = caches.find(std::string(aSource.substr(slash + 1)));
  if (cache == caches.end()) {
    return false;
  }
  if (cache->second.owner != aId) {
    mChecker.OnForeignKvCache(aId, cache->second.owner, mExecutor.Now());
  }
  caches.erase(cache);
  return true;
}

void
FakeBackend::OnOrder(const CallerRequest& aRequest, CallerAnswer& aAnswer)
{
  const auto order = nlohmann::json::parse(aRequest.body);
  const auto fence = order.at("fence").get<std::uint64_t>();
  const auto stage = order.at("stage").get<std::string>();
  if (fence < mFence) {
    aAnswer.Send(kFenced, "", {}, "");
    return;
  }
  mFence = fence;
  mChecker.OnOrder({ .backend = mId,
                     .holder = order.at("holder").get<std::string>(),
                     .fence = fence },
                   mExecutor.Now());
  if (stage == mOptions.stage) {
    aAnswer.Send(kOk, "OK", {}, "");
    return;
  }
  mStageTimer = mExecutor.RunAfter(kStageChange, [this, stage] {
    mOptions.stage = stage;
    if (mIsUp) {
      Heartbeat();
    }
  });
  aAnswer.Send(kAccepted, "Accepted", {}, "");
}

} // namespace firefly::soak
