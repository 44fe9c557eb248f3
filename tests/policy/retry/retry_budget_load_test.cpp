// Plays backend servers that fail all requests after a calm time, behind many
// hosts, and counts the attempts that repeat others.

#include <algorithm>
#include <functional>
#include <map>
#include <memory>
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
using firefly::ModelId;
using firefly::Random;
using firefly::RequestId;
using firefly::ServiceId;
using firefly::policy::AttemptError;
using firefly::policy::AttemptNumber;
using firefly::policy::Backend;
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

// What the users' pages allow over all hosts, in each window: a fraction of the
// requests for the service and a number beside.
constexpr double kRatio = 0.2;
constexpr Duration kWindow = 10s;
constexpr double kRequestsPerHost = 3.5;
constexpr Duration kTrouble = 12s;
constexpr Duration kLength = 30s;
constexpr Duration kFailsAfter = 15ms;
constexpr Duration kAnswersAfter = 80ms;

struct Load
{
  std::size_t hosts = 91;
  double slack = 222;
  AttemptError error = AttemptError::kRejected;
  // The share of the requests that are for the service that fails; the others
  // are for one that does not.
  double failingShare = 1;
};

class RetryLoad
{
public:
  explicit RetryLoad(const Load& aLoad)
    : mLoad(aLoad)
  {
    for (int i = 0; i < 90; ++i) {
      Backend engine = MakeEngine("e" + std::to_string(i));
      mFleet.Upsert(engine);
      engine.id = BackendId("o" + std::to_string(i));
      engine.models = { ModelId("m2") };
      mFleet.Upsert(engine);
    }
    std::vector<HostId> names;
    for (std::size_t i = 0; i < mLoad.hosts; ++i) {
      mHosts.push_back(std::make_unique<Host>(*this, i));
      names.emplace_back("h" + std::to_string(i));
    }
    for (const auto& it : mHosts) {
      it->router->SetEntries(names, mNow);
    }
  }

  // Returns the largest number of repeating attempts beyond what a window
  // allows.
  double Play()
  {
    const double perSecond =
      kRequestsPerHost * static_cast<double>(mLoad.hosts);
    for (Duration at{}; at < kLength;
         at += firefly::FromSeconds(2 * mRandom.Uniform() / perSecond)) {
      At(Instant(at), [this] { Arrive(); });
    }
    for (Duration at{}; at < kLength; at += 100ms) {
      At(Instant(at), [this] {
        for (const auto& it : mHosts) {
          it->router->Tick(mNow);
        }
      });
    }
    while (!mEvents.empty()) {
      const auto it = mEvents.begin();
      mNow = it->first;
      const auto event = std::move(it->second);
      mEvents.erase(it);
      event();
    }
    return WorstWindow();
  }

private:
  struct Host : public RouterSink
  {
    Host(RetryLoad& aLoad, std::size_t aIndex)
      : load(aLoad)
    {
      const HostId self("h" + std::to_string(aIndex));
      router = std::make_unique<RequestRouter>(
        RequestRouter::Options{ .self = self, .incarnation = Incarnation(1) },
        std::move(
          *MakePolicySet("firefly",
                         { .self = self,
                           .seed = aIndex + 1,
                           .retryAllowance = { .ratio = kRatio,
                                               .burst = aLoad.mLoad.slack } })),
        aLoad.mFleet,
        *this);
    }
    void Dispatch(const DispatchOrder& aOrder) override
    {
      load.Run(*this, aOrder);
    }
    void Cancel(const RequestId& /*aId*/, AttemptNumber /*aAttempt*/) override
    {
    }
    void Refuse(const RequestId& /*aId*/, const Refusal& /*aRefusal*/) override
    {
    }
    void Fail(const RequestId& /*aId*/, FailureReason /*aReason*/) override {}

    RetryLoad& load;
    std::unique_ptr<RequestRouter> router;
  };

  void At(Instant aTime, std::function<void()> aEvent)
  {
    mEvents.emplace(aTime, std::move(aEvent));
  }

  void Arrive()
  {
    auto info = MakeRequest("r" + std::to_string(mRequests++), mNow);
    const bool fails = mRandom.Chance(mLoad.failingShare);
    info.service = ServiceId(fails ? "assistant" : "other");
    info.model = ModelId(fails ? "m1" : "m2");
    info.idempotent = true;
    info.lateAfter = 2s;
    if (fails) {
      mArrivals.push_back(mNow);
    }
    mHosts[mRandom.Below(mHosts.size())]->router->OnArrival(info, mNow);
  }

  void Run(Host& aHost, const DispatchOrder& aOrder)
  {
    const auto id = aOrder.requestId;
    const auto number = aOrder.attempt;
    const bool fails =
      aOrder.backend.Value().starts_with("e") && mNow > Instant(kTrouble);
    if (aOrder.backend.Value().starts_with("e") && number.Value() > 1) {
      mRepeats.push_back(mNow);
    }
    if (fails) {
      At(mNow + kFailsAfter, [this, &aHost, id, number] {
        aHost.router->OnError(id, number, mLoad.error, mNow);
      });
      return;
    }
    At(mNow + kAnswersAfter, [this, &aHost, id, number] {
      aHost.router->OnFirstToken(id, number, mNow);
      aHost.router->OnTokens(id, number, Tokens(20), mNow);
      aHost.router->OnFinish(id, number, mNow);
    });
  }

  static double CountIn(const std::vector<Instant>& aTimes, Instant aFrom)
  {
    return static_cast<double>(std::ranges::count_if(aTimes, [&](Instant aIt) {
      return aIt >= aFrom && aIt < aFrom + kWindow;
    }));
  }

  [[nodiscard]] double WorstWindow() const
  {
    double worst = -mLoad.slack;
    for (Instant from(kTrouble); from + kWindow < Instant(kLength);
         from += 500ms) {
      worst = std::max(worst,
                       CountIn(mRepeats, from) -
                         kRatio * CountIn(mArrivals, from) - mLoad.slack);
    }
    return worst;
  }

  Load mLoad;
  Random mRandom{ 1 };
  FleetView mFleet;
  std::vector<std::unique_ptr<Host>> mHosts;
  std::multimap<Instant, std::function<void()>> mEvents;
  Instant mNow{};
  std::uint64_t mRequests = 0;
  std::vector<Instant> mArrivals;
  std::vector<Instant> mRepeats;
};

} // namespace

TEST_GROUP(RetryBudgetLoadTest){};

// Guards against hosts that each have saved retries for a calm time and send
// all of them at once.
TEST(RetryBudgetLoadTest, ManyHostsTogetherKeepToTheBudgetOfTheDeployment)
{
  CHECK_TRUE(RetryLoad({}).Play() <= 0);
  CHECK_TRUE(RetryLoad({ .hosts = 9, .slack = 58 }).Play() <= 0);
}

// Guards against repeats that no budget counts because connections broke.
TEST(RetryBudgetLoadTest, RepeatsAfterBrokenConnectionsKeepToTheBudget)
{
  CHECK_TRUE(RetryLoad({ .error = AttemptError::kBroken }).Play() <= 0);
}

// Guards against retries that one service earns and another one receives.
TEST(RetryBudgetLoadTest, RepeatsToAServiceAreBoundedByItsOwnRequests)
{
  CHECK_TRUE(RetryLoad({ .failingShare = 0.2 }).Play() <= 0);
}
