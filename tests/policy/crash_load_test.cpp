// Plays requests with a part of their prompt that crashes engines, sent to
// several routers, and checks what the callers of sound requests get.

#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "core/random.h"
#include "policy/request_router.h"
#include "tests/policy/builders.h"

#include <CppUTest/TestHarness.h>

using namespace std::chrono_literals;
using firefly::BackendId;
using firefly::Duration;
using firefly::HostId;
using firefly::Incarnation;
using firefly::Instant;
using firefly::Random;
using firefly::RequestId;
using firefly::policy::AttemptError;
using firefly::policy::AttemptNumber;
using firefly::policy::CrashSuspicion;
using firefly::policy::DispatchOrder;
using firefly::policy::FailureReason;
using firefly::policy::FleetView;
using firefly::policy::MakePolicySet;
using firefly::policy::Refusal;
using firefly::policy::RequestRouter;
using firefly::policy::RouterSink;
using firefly::policy::Tokens;
using firefly::policy::test::MakeEngine;
using firefly::policy::test::MakeRequest;

namespace {

constexpr std::uint64_t kDeadlyPart = 999;
constexpr std::uint64_t kPartWithIt = 1;
constexpr Duration kDowntime = 3s;
constexpr Duration kBeginsAfter = 60ms;
constexpr Duration kEndsAfter = 200ms;
constexpr Duration kBetweenRouters = 2ms;

struct Load
{
  std::uint64_t seed = 1;
  int routers = 9;
  int engines = 12;
  double soundPerSecond = 48;
  double deadlyPerSecond = 0.7;
  // Mean time between crashes of a random engine that no request causes; 0 for
  // none.
  Duration otherCrashes{};
  Duration length = 40s;
  // The deadly requests come from here on.
  Duration from = 5s;
  // Disables the correlation of crashes.
  bool isUnprotected = false;
};

struct Result
{
  int crashes = 0;
  // Deadly requests that were sent to engines later than three seconds after
  // the fifth crash.
  int sentLate = 0;
  // Sound requests that share the part before the deadly one, and how many of
  // them were refused.
  int neighbours = 0;
  int neighboursRefused = 0;
  int sound = 0;
  int soundRefused = 0;
};

class CrashLoad
{
public:
  explicit CrashLoad(const Load& aLoad)
    : mLoad(aLoad)
    , mRandom(aLoad.seed)
  {
    for (int i = 0; i < mLoad.routers; ++i) {
      mHosts.push_back(std::make_unique<Host>(*this, i));
    }
    for (int i = 0; i < mLoad.engines; ++i) {
      StartEngine();
    }
  }

  Result Play()
  {
    ScheduleArrivals(mLoad.soundPerSecond, Duration::zero(), false);
    ScheduleArrivals(mLoad.deadlyPerSecond, mLoad.from, true);
    if (mLoad.otherCrashes > Duration::zero()) {
      ScheduleOtherCrash();
    }
    for (Duration at{}; at < mLoad.length; at += 20ms) {
      At(Instant(at), [this] { Tick(); });
    }
    while (!mEvents.empty()) {
      const auto it = mEvents.begin();
      mNow = it->first;
      const auto event = std::move(it->second);
      mEvents.erase(it);
      event();
    }
    return mResult;
  }

private:
  struct Running
  {
    int host = 0;
    RequestId request;
    AttemptNumber attempt;
  };
  struct Host : public RouterSink
  {
    Host(CrashLoad& aLoad, int aIndex)
      : load(aLoad)
      , index(aIndex)
    {
      const HostId self("h" + std::to_string(aIndex));
      auto policies = MakePolicySet(
        "firefly",
        { .self = self,
          .seed = aLoad.mLoad.seed + static_cast<std::uint64_t>(aIndex) });
      if (aLoad.mLoad.isUnprotected) {
        policies->crashCorrelator =
          std::make_unique<firefly::policy::NoCrashCorrelator>();
      }
      router = std::make_unique<RequestRouter>(
        RequestRouter::Options{ .self = self, .incarnation = Incarnation(1) },
        std::move(*policies),
        aLoad.mFleet,
        *this);
    }
    void Dispatch(const DispatchOrder& aOrder) override
    {
      load.Run(index, aOrder);
    }
    void Cancel(const RequestId& aId, AttemptNumber aAttempt) override
    {
      load.mEnded.insert({ aId, aAttempt });
    }
    void Refuse(const RequestId& aId, const Refusal& /*aRefusal*/) override
    {
      load.CountRefused(aId);
    }
    void Fail(const RequestId& /*aId*/, FailureReason /*aReason*/) override {}
    void AnnounceCrashSuspicions(
      const std::vector<CrashSuspicion>& aChanges) override
    {
      load.At(load.mNow + kBetweenRouters, [this, aChanges] {
        for (const auto& it : load.mHosts) {
          if (it.get() != this) {
            it->router->OnPeerCrashSuspicions(aChanges, load.mNow);
          }
        }
      });
    }

    CrashLoad& load;
    int index;
    std::unique_ptr<RequestRouter> router;
  };

  void At(Instant aTime, std::function<void()> aEvent)
  {
    mEvents.emplace(aTime, std::move(aEvent));
  }

  Duration DrawGap(double aPerSecond)
  {
    return firefly::FromSeconds(2 * mRandom.Uniform() / aPerSecond);
  }

  void ScheduleArrivals(double aPerSecond, Duration aFrom, bool aIsDeadly)
  {
    for (auto at = aFrom; at < mLoad.length; at += DrawGap(aPerSecond)) {
      At(Instant(at), [this, aIsDeadly] { Arrive(aIsDeadly); });
    }
  }

  void Arrive(bool aIsDeadly)
  {
    constexpr std::uint64_t kParts = 60;
    auto info = MakeRequest("r" + std::to_string(mRequests++), mNow);
    info.idempotent = false;
    info.lateAfter = 2s;
    const auto part = aIsDeadly ? kPartWithIt : mRandom.Below(kParts);
    std::vector<std::uint64_t> parts{ part };
    if (aIsDeadly) {
      parts.push_back(kDeadlyPart);
      mDeadly.insert(info.requestId);
    } else {
      mResult.sound++;
      if (part == kPartWithIt) {
        mResult.neighbours++;
        mNeighbours.insert(info.requestId);
      }
    }
    info.SetCrashTraits("", parts);
    const auto host = mRandom.Below(mHosts.size());
    mHosts[host]->router->OnArrival(info, mNow);
  }

  void CountRefused(const RequestId& aId)
  {
    if (!mDeadly.contains(aId)) {
      mResult.soundRefused++;
      mResult.neighboursRefused += mNeighbours.contains(aId) ? 1 : 0;
    }
  }

  void Run(int aHost, const DispatchOrder& aOrder)
  {
    const Running running{ aHost, aOrder.requestId, aOrder.attempt };
    const auto& backend = aOrder.backend;
    const bool isDeadly = mDeadly.contains(aOrder.requestId);
    if (!mUp.contains(backend)) {
      At(mNow + 1ms, [=, this] { EndWith(running, AttemptError::kNotSent); });
      return;
    }
    if (isDeadly && mResult.crashes >= 5 && mNow > mFifthCrash + 3s) {
      mResult.sentLate++;
    }
    mUp[backend].push_back(running);
    if (isDeadly) {
      At(mNow + kBeginsAfter, [=, this] {
        if (!mEnded.contains({ running.request, running.attempt })) {
          Crash(backend);
        }
      });
      return;
    }
    At(mNow + kBeginsAfter, [=, this] {
      if (!mEnded.contains({ running.request, running.attempt })) {
        RouterOf(running).OnFirstToken(running.request, running.attempt, mNow);
      }
    });
    At(mNow + kEndsAfter, [=, this] {
      if (mEnded.insert({ running.request, running.attempt }).second) {
        auto& router = RouterOf(running);
        router.OnTokens(running.request, running.attempt, Tokens(20), mNow);
        router.OnFinish(running.request, running.attempt, mNow);
      }
    });
  }

  RequestRouter& RouterOf(const Running& aRunning)
  {
    return *mHosts[static_cast<std::size_t>(aRunning.host)]->router;
  }

  void EndWith(const Running& aRunning, AttemptError aError)
  {
    if (mEnded.insert({ aRunning.request, aRunning.attempt }).second) {
      RouterOf(aRunning).OnError(
        aRunning.request, aRunning.attempt, aError, mNow);
    }
  }

  void Crash(const BackendId& aBackend)
  {
    const auto it = mUp.find(aBackend);
    if (it == mUp.end()) {
      return;
    }
    const auto running = std::move(it->second);
    mUp.erase(it);
    mResult.crashes++;
    if (mResult.crashes == 5) {
      mFifthCrash = mNow;
    }
    for (const auto& each : running) {
      EndWith(each, AttemptError::kBroken);
    }
    At(mNow + kDowntime, [this, aBackend] {
      mFleet.Remove(aBackend);
      StartEngine();
    });
  }

  void ScheduleOtherCrash()
  {
    const auto next =
      mNow + DrawGap(1 / firefly::ToSeconds(mLoad.otherCrashes));
    if (next >= Instant(mLoad.length)) {
      return;
    }
    At(next, [this] {
      // All of a failure domain's engines, a third of the fleet, end at once.
      std::vector<BackendId> victims;
      for (const auto& [id, running] : mUp) {
        if (mRandom.Chance(0.3)) {
          victims.push_back(id);
        }
      }
      for (const auto& id : victims) {
        Crash(id);
      }
      ScheduleOtherCrash();
    });
  }

  void StartEngine()
  {
    const auto id = "e" + std::to_string(mStarted++);
    mFleet.Upsert(MakeEngine(id));
    mUp[BackendId(id)] = {};
  }

  void Tick()
  {
    for (const auto& it : mHosts) {
      it->router->Tick(mNow);
    }
  }

  Load mLoad;
  Random mRandom;
  FleetView mFleet;
  std::vector<std::unique_ptr<Host>> mHosts;
  std::multimap<Instant, std::function<void()>> mEvents;
  Instant mNow{};
  Instant mFifthCrash{};
  int mRequests = 0;
  int mStarted = 0;
  std::map<BackendId, std::vector<Running>> mUp;
  std::set<std::pair<RequestId, AttemptNumber>> mEnded;
  std::set<RequestId> mDeadly;
  std::set<RequestId> mNeighbours;
  Result mResult;
};

} // namespace

TEST_GROUP(CrashLoadTest){};

TEST(CrashLoadTest, AtMostThreeDeadlyRequestsReachEnginesAfterTheFifthCrash)
{
  for (std::uint64_t seed = 1; seed <= 10; ++seed) {
    for (const double rate : { 0.2, 0.7, 5.0 }) {
      const auto result =
        CrashLoad({ .seed = seed, .deadlyPerSecond = rate }).Play();
      CHECK(result.sentLate <= 3);
      CHECK(result.crashes <= 8);
    }
  }
}

TEST(CrashLoadTest, ManyRoutersThatSeeLittleEachAddUpWhatTheySee)
{
  const auto result = CrashLoad({ .seed = 3,
                                  .routers = 100,
                                  .engines = 60,
                                  .soundPerSecond = 200,
                                  .deadlyPerSecond = 3,
                                  .length = 20s })
                        .Play();
  CHECK(result.sentLate <= 3);
}

// Most routers have no answer of an engine between two crashes.
TEST(CrashLoadTest, RoutersThatServeLittleHoldBackWhatOthersFound)
{
  for (std::uint64_t seed = 1; seed <= 5; ++seed) {
    const auto result = CrashLoad({ .seed = seed,
                                    .routers = 100,
                                    .engines = 60,
                                    .soundPerSecond = 20,
                                    .deadlyPerSecond = 2 })
                          .Play();
    CHECK(result.sentLate <= 3);
    CHECK(result.crashes <= 8);
  }
}

TEST(CrashLoadTest, SoundRequestsWithTheSameFirstPartAreServed)
{
  int neighbours = 0;
  int refused = 0;
  for (std::uint64_t seed = 1; seed <= 10; ++seed) {
    const auto result = CrashLoad({ .seed = seed }).Play();
    neighbours += result.neighbours;
    refused += result.neighboursRefused;
  }
  CHECK(neighbours > 100);
  CHECK(refused * 20 < neighbours);
}

// Engines that crash for reasons of their own lead to no refusals.
TEST(CrashLoadTest, CrashesThatNoRequestCausesHoldBackNothing)
{
  for (std::uint64_t seed = 1; seed <= 10; ++seed) {
    const auto result = CrashLoad({ .seed = seed,
                                    .deadlyPerSecond = 0.001,
                                    .otherCrashes = 4s,
                                    .from = 100s })
                          .Play();
    CHECK(result.crashes > 10);
    CHECK(result.soundRefused * 100 < result.sound);
  }
}

// Shows that the load is one that the correlation of crashes answers.
TEST(CrashLoadTest, WithoutCorrelationTheSameLoadGoesOnCrashingEngines)
{
  const auto result = CrashLoad({ .seed = 1, .isUnprotected = true }).Play();
  CHECK(result.sentLate > 3);
}
