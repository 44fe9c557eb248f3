#include "tests/soak/runner.h"

#include <algorithm>
#include <charconv>
#include <utility>

#include <nlohmann/json.hpp>

#include "platform/wire_names.h"

namespace firefly::soak {

namespace {

namespace wire = platform::wire;

constexpr std::string_view kServersTopic = "keyed.servers";
constexpr Duration kBeat = std::chrono::milliseconds(1200);
// A record lapses after three beats of silence.
constexpr Duration kLapse = 3 * kBeat;
// After its leaving was accepted: the drain time of the users' pages and some.
constexpr Duration kLeaveAfter = std::chrono::milliseconds(4500);
constexpr Duration kStageChange = std::chrono::milliseconds(800);
constexpr Duration kMemoryHold = std::chrono::seconds(5);
constexpr Duration kPlainWork = std::chrono::milliseconds(15);
constexpr Duration kPromptWork = std::chrono::milliseconds(30);
constexpr Duration kEventGap = std::chrono::milliseconds(50);
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

// One request that the runner works on.
class Runner::Run : private CallerObserver
{
public:
  Run(Runner& aRunner,
      RequestId aId,
      std::shared_ptr<CallerAnswer> aAnswer,
      std::optional<std::uint32_t> aAfterEvent)
    : mRunner(aRunner)
    , mId(std::move(aId))
    , mAnswer(std::move(aAnswer))
    , mEvent(aAfterEvent)
  {
    mAnswer->Observe(this);
    mRunner.mWitness.OnRunBegan(mRunner.mId, mId, mRunner.mExecutor.Now());
    mTimer =
      mRunner.mExecutor.RunAfter(mRunner.Work(kPlainWork), [this] { Step(); });
  }

  ~Run() override
  {
    mAnswer->Observe(nullptr);
    if (!mEnded) {
      mRunner.mWitness.OnRunEnded(
        mRunner.mId, mId, true, mRunner.mExecutor.Now());
    }
  }
  Run(const Run&) = delete;
  Run& operator=(const Run&) = delete;

private:
  void OnCallerGone() override { End(); }
  void OnCallerTookAll() override {}

  [[nodiscard]] HttpHeaders Headers() const
  {
    return { { std::string(wire::kRequestId), mId.Value() },
             { std::string(wire::kStamp), mRunner.mId + "." + mId.Value() } };
  }

  void Step()
  {
    if (!mBegun && mRunner.mRandom.Chance(mRunner.mFaults.failing)) {
      mAnswer->Send(kFailed, "Internal Server Error", Headers(), "failed");
      End();
      return;
    }
    if (mRunner.mRandom.Chance(mRunner.mFaults.lostAnswers)) {
      mAnswer->Abort();
      End(true);
      return;
    }
    if (!mEvent) {
      mAnswer->Send(kOk, "OK", Headers(), Witness::PlainBody(mId));
      End();
      return;
    }
    if (!std::exchange(mBegun, true)) {
      auto headers = Headers();
      headers.push_back({ "Content-Type", "text/event-stream" });
      mAnswer->Begin(kOk, "OK", headers, std::nullopt);
    }
    if (++*mEvent <= Witness::EventCount(mId)) {
      mAnswer->Write(Witness::Event(mId, *mEvent));
    }
    if (*mEvent >= Witness::EventCount(mId)) {
      mAnswer->Finish();
      End();
      return;
    }
    mTimer =
      mRunner.mExecutor.RunAfter(mRunner.Work(kEventGap), [this] { Step(); });
  }

  void End(bool aBrokenOff = false)
  {
    mEnded = true;
    mTimer.Cancel();
    mRunner.mWitness.OnRunEnded(
      mRunner.mId, mId, aBrokenOff, mRunner.mExecutor.Now());
    mRunner.mExecutor.Post([runner = &mRunner, run = this] {
      std::erase_if(runner->mRuns,
                    [&](const auto& aIt) { return aIt.get() == run; });
    });
  }

  Runner& mRunner;
  RequestId mId;
  std::shared_ptr<CallerAnswer> mAnswer;
  // The last event that was sent; none for a plain answer.
  std::optional<std::uint32_t> mEvent;
  bool mBegun = false;
  bool mEnded = false;
  Timer mTimer;
};

Runner::Runner(AsioExecutor& aExecutor,
               Options aOptions,
               Store& aStore,
               Witness& aWitness,
               RunnerFleet& aFleet)
  : mExecutor(aExecutor)
  , mOptions(std::move(aOptions))
  , mStore(aStore)
  , mWitness(aWitness)
  , mFleet(aFleet)
  , mRandom(mOptions.seed)
  , mServer(aExecutor, { .liveness = {}, .limits = {} }, *this)
{
}

Runner::~Runner()
{
  mFleet.erase(Address());
  EndRuns();
}

tl::expected<void, CallerServerError>
Runner::Start()
{
  if (auto started = mServer.Start(); !started) {
    return started;
  }
  mProxy = std::make_unique<TcpProxy>(
    mExecutor, "127.0.0.1", mServer.Port(), mOptions.seed);
  mFleet[Address()] = this;
  Begin();
  return {};
}

std::string
Runner::Address() const
{
  return "127.0.0.1:" + std::to_string(mProxy ? mProxy->Port() : 0);
}

void
Runner::Begin()
{
  mId = mOptions.service + "-" + std::to_string(mRandom.Below(1'000'000'000));
  if (IsEngine() && mBorn > 0) {
    // One that comes back may do either part, so that orders are needed.
    mOptions.stage = mRandom.Chance(0.5) ? "prefill" : "decode";
  }
  mBorn =
    static_cast<std::uint64_t>(mExecutor.WallNow().time_since_epoch().count());
  mUp = true;
  mLeaving = false;
  mFence = 0;
  mMemories.clear();
  mProxy->SetFaults({});
  Beat();
}

void
Runner::Beat()
{
  mBeatTimer = mExecutor.RunAfter(kBeat, [this] { Beat(); });
  if (!mUp || mDark) {
    return;
  }
  nlohmann::json record{ { "service", mOptions.service },
                         { "address", Address() },
                         { "zone", mOptions.zone },
                         { "version", "v1" },
                         { "slots", mOptions.slots },
                         { "state", mLeaving ? "draining" : "ready" },
                         { "coldLeftMs", 0 },
                         { "seqNo", ++mBeats },
                         { "born", mBorn } };
  if (IsEngine()) {
    record["stage"] = mOptions.stage;
    record["models"] = { { { "name", "m" }, { "version", 1 } } };
  }
  const bool accepted =
    mStore.Put(std::string(kServersTopic), mId, record.dump());
  if (accepted && mLeaving) {
    mWitness.OnLeaving(mId, mExecutor.Now());
    if (!mLifeTimer.Pending()) {
      mLifeTimer = mExecutor.RunAfter(
        kLeaveAfter, [this] { Crash(std::chrono::seconds(2)); });
    }
  }
}

void
Runner::Leave()
{
  mLeaving = true;
  Beat();
}

void
Runner::Crash(Duration aDown)
{
  if (!mUp) {
    return;
  }
  mUp = false;
  mProxy->SetFaults({ .refuse = true });
  mProxy->Reset(1);
  EndRuns();
  // The store takes its record away after a while.
  const auto id = mId;
  mLater.push_back(mExecutor.RunAfter(kLapse, [this, id] {
    if (mStore.Put(std::string(kServersTopic), id, std::nullopt)) {
      mWitness.OnLeaving(id, mExecutor.Now());
    }
  }));
  mLifeTimer = mExecutor.RunAfter(aDown, [this] { Begin(); });
}

void
Runner::GoDark(Duration aFor)
{
  if (!mUp) {
    return;
  }
  mDark = true;
  mProxy->SetFaults({ .silentToServer = true, .silentFromServer = true });
  mLater.push_back(mExecutor.RunAfter(aFor, [this] {
    mDark = false;
    if (mUp) {
      mProxy->SetFaults({});
    }
  }));
}

void
Runner::EndRuns()
{
  mRuns.clear();
}

Duration
Runner::Work(Duration aMean)
{
  return FromSeconds(ToSeconds(aMean) * mFaults.slowness *
                     (0.5 + mRandom.Uniform()));
}

void
Runner::Refuse(CallerAnswer& aAnswer, int aStatus) const
{
  aAnswer.Send(aStatus, "", { { std::string(wire::kNotRun), "1" } }, "");
}

void
Runner::OnRequest(CallerRequest aRequest, std::shared_ptr<CallerAnswer> aAnswer)
{
  const auto& headers = aRequest.head.headers;
  const auto& target = aRequest.head.target;
  if (FindHeader(headers, wire::kExpectInstance) != mId &&
      !target.starts_with("/-/kv-handle/")) {
    Refuse(*aAnswer, wire::kMisdirected);
    return;
  }
  if (target == "/-/order") {
    OnOrder(aRequest, *aAnswer);
    return;
  }
  if (target.starts_with("/-/kv-handle/")) {
    mMemories.erase(target.substr(target.rfind('/') + 1));
    aAnswer->Send(kOk, "OK", {}, "");
    return;
  }
  const RequestId id(std::string(FindHeader(headers, wire::kRequestId)));
  const auto deadline = FindHeader(headers, wire::kDeadlineMs);
  SeenArrival arrival{ .backend = mId,
                       .id = id,
                       .method = aRequest.head.method,
                       .target = target,
                       .body = aRequest.body,
                       .deadline = std::nullopt };
  if (!deadline.empty()) {
    arrival.deadline = std::chrono::milliseconds(ReadNumber(deadline));
  }
  mWitness.OnArrival(arrival, mExecutor.Now());
  const auto stage = FindHeader(headers, wire::kStage);
  if (IsEngine() && (stage == "prefill") != (mOptions.stage == "prefill")) {
    Refuse(*aAnswer, wire::kMisdirected);
    return;
  }
  if (mRuns.size() >= mOptions.slots) {
    Refuse(*aAnswer, kUnavailable);
    return;
  }
  if (stage == "prefill") {
    ReadPrompt(id, aAnswer);
    return;
  }
  const auto source = FindHeader(headers, wire::kKvSource);
  if (!source.empty() && !TakeMemory(source, id)) {
    Refuse(*aAnswer, kUnavailable);
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
Runner::ReadPrompt(const RequestId& aId,
                   const std::shared_ptr<CallerAnswer>& aAnswer)
{
  std::erase_if(mLater, [](const auto& aTimer) { return !aTimer.Pending(); });
  mLater.push_back(mExecutor.RunAfter(Work(kPromptWork), [this, aId, aAnswer] {
    if (!mUp) {
      return;
    }
    const auto handle = std::to_string(mRandom.Next());
    mMemories[handle] = { .of = aId,
                          .expiry =
                            mExecutor.RunAfter(kMemoryHold, [this, handle] {
                              mMemories.erase(handle);
                            }) };
    aAnswer->Send(kOk,
                  "OK",
                  { { "Content-Type", "application/json" },
                    { std::string(wire::kRequestId), aId.Value() } },
                  nlohmann::json{
                    { "kvHandle", handle }, { "tokens", 1 }, { "version", 1 } }
                    .dump());
  }));
}

bool
Runner::TakeMemory(std::string_view aSource, const RequestId& aId)
{
  const auto slash = aSource.find('/');
  const auto it = mFleet.find(std::string(aSource.substr(0, slash)));
  if (it == mFleet.end() || slash == std::string_view::npos) {
    return false;
  }
  auto& memories = it->second->mMemories;
  const auto memory = memories.find(std::string(aSource.substr(slash + 1)));
  if (memory == memories.end()) {
    return false;
  }
  if (memory->second.of != aId) {
    mWitness.OnForeignMemory(aId, memory->second.of, mExecutor.Now());
  }
  memories.erase(memory);
  return true;
}

void
Runner::OnOrder(const CallerRequest& aRequest, CallerAnswer& aAnswer)
{
  const auto order = nlohmann::json::parse(aRequest.body);
  const auto fence = order.at("fence").get<std::uint64_t>();
  const auto stage = order.at("stage").get<std::string>();
  if (fence < mFence) {
    aAnswer.Send(kFenced, "", {}, "");
    return;
  }
  mFence = fence;
  mWitness.OnOrder({ .backend = mId,
                     .holder = order.at("holder").get<std::string>(),
                     .fence = fence },
                   mExecutor.Now());
  if (stage == mOptions.stage) {
    aAnswer.Send(kOk, "OK", {}, "");
    return;
  }
  mStageTimer = mExecutor.RunAfter(kStageChange, [this, stage] {
    mOptions.stage = stage;
    if (mUp) {
      Beat();
    }
  });
  aAnswer.Send(kAccepted, "Accepted", {}, "");
}

} // namespace firefly::soak
