// Plays the load of a service whose backend servers limit the rate of requests
// on many hosts, and checks what the backend servers and the callers get.

#include <algorithm>
#include <cmath>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <queue>
#include <string>
#include <tuple>
#include <vector>

#include "core/random.h"
#include "policy/policy_set.h"
#include "policy/request_router.h"
#include "tests/policy/builders.h"

#include <CppUTest/TestHarness.h>

using namespace std::chrono_literals;
using firefly::BackendId;
using firefly::Duration;
using firefly::FromSeconds;
using firefly::HostId;
using firefly::Incarnation;
using firefly::Instant;
using firefly::ModelId;
using firefly::Random;
using firefly::RequestId;
using firefly::ServiceId;
using firefly::ToSeconds;
using firefly::policy::AttemptNumber;
using firefly::policy::Backend;
using firefly::policy::BackendKind;
using firefly::policy::BackendNotice;
using firefly::policy::DispatchOrder;
using firefly::policy::FailureReason;
using firefly::policy::FleetView;
using firefly::policy::MakePolicySet;
using firefly::policy::Refusal;
using firefly::policy::RefusalReason;
using firefly::policy::RequestRate;
using firefly::policy::RequestRouter;
using firefly::policy::RouterSink;
using firefly::policy::test::MakeRequest;

namespace {

constexpr Duration kTick = 20ms;
constexpr Duration kWork = 15ms;
constexpr Duration kAim = 300ms;
constexpr Duration kTimeout = 2000ms;
constexpr std::uint64_t kRun = 1;
// The window of the users' rule, and what it allows.
constexpr Duration kWindow = 4s;
constexpr double kAllowedPart = 1.5;
constexpr double kAllowedMore = 5;

struct Options
{
  std::size_t hosts = 9;
  std::size_t backends = 3;
  // Of all hosts together.
  double requestsPerSecond = 60;
  // Part of the notices between hosts that are lost.
  double loss = 0;
  std::uint64_t seed = 1;
};

class Deployment
{
public:
  explicit Deployment(const Options& aOptions)
    : mOptions(aOptions)
    , mRandom(aOptions.seed)
    , mArrivals(aOptions.backends)
    , mLimits(aOptions.backends)
  {
    std::vector<HostId> names;
    for (std::size_t i = 0; i < aOptions.hosts; ++i) {
      names.emplace_back("h" + std::to_string(i));
    }
    for (std::size_t i = 0; i < aOptions.hosts; ++i) {
      mHosts.push_back(std::make_unique<Host>(*this, i, names));
    }
    mIsCut.resize(aOptions.hosts);
  }

  // Limits each backend server to this rate, or none of them.
  void Limit(std::optional<RequestRate> aRate)
  {
    std::ranges::fill(mLimits, aRate);
  }

  // Separates the first hosts from the others, which still reach all backend
  // servers.
  void Cut(std::size_t aHosts)
  {
    for (std::size_t i = 0; i < mHosts.size(); ++i) {
      mIsCut[i] = i < aHosts;
    }
  }

  // The hosts learn which others they hear of.
  void DetectCut()
  {
    for (std::size_t i = 0; i < mHosts.size(); ++i) {
      std::vector<HostId> live;
      for (std::size_t j = 0; j < mHosts.size(); ++j) {
        if (mIsCut[i] == mIsCut[j]) {
          live.emplace_back("h" + std::to_string(j));
        }
      }
      mHosts[i]->router->SetEntries(live, mNow);
    }
  }

  void Restart(std::size_t aHost) { mHosts[aHost]->Restart(); }

  void Play(Duration aTime)
  {
    const auto end = mNow + aTime;
    if (mNow == Instant{}) {
      ScheduleArrival();
      for (auto& it : mHosts) {
        it->ScheduleTick(FromSeconds(ToSeconds(kTick) * mRandom.Uniform()));
      }
    }
    while (!mEvents.empty() && mEvents.top().at <= end) {
      const auto event = mEvents.top();
      mEvents.pop();
      mNow = event.at;
      event.run();
    }
    mNow = end;
  }

  // The most requests that a backend server got in a window that begins within
  // that time.
  [[nodiscard]] std::size_t MostInWindow(Instant aFrom, Instant aTo) const
  {
    std::size_t most = 0;
    for (const auto& arrivals : mArrivals) {
      for (auto it = arrivals.begin(); it != arrivals.end(); ++it) {
        if (*it >= aFrom && *it <= aTo) {
          const auto end = std::upper_bound(it, arrivals.end(), *it + kWindow);
          most = std::max(most, static_cast<std::size_t>(end - it));
        }
      }
    }
    return most;
  }

  // The requests that all backend servers got within that time.
  [[nodiscard]] std::size_t Sent(Instant aFrom, Instant aTo) const
  {
    std::size_t n = 0;
    for (const auto& arrivals : mArrivals) {
      n += static_cast<std::size_t>(std::ranges::count_if(
        arrivals, [&](Instant aAt) { return aAt >= aFrom && aAt < aTo; }));
    }
    return n;
  }

  [[nodiscard]] Instant Now() const { return mNow; }

  // Counts of requests by outcome.
  int answered = 0;
  int answeredLate = 0;
  int refused = 0;
  // Of these, those that had waited for long.
  int refusedLate = 0;
  int refusedForLimit = 0;

private:
  struct Event
  {
    Instant at{};
    std::uint64_t number = 0;
    std::function<void()> run;
    bool operator<(const Event& aOther) const
    {
      return std::tie(aOther.at, aOther.number) < std::tie(at, number);
    }
  };

  class Host : public RouterSink
  {
  public:
    Host(Deployment& aDeployment,
         std::size_t aIndex,
         const std::vector<HostId>& aNames)
      : mDeployment(aDeployment)
      , mIndex(aIndex)
      , mNames(aNames)
    {
      for (std::size_t i = 0; i < aDeployment.mOptions.backends; ++i) {
        Backend backend;
        backend.id = BackendId("b" + std::to_string(i));
        backend.startedAt = kRun;
        backend.kind = BackendKind::kPlain;
        backend.services = { ServiceId("desk") };
        backend.capacity.slots = 64;
        mFleet.Upsert(backend);
      }
      Restart();
    }

    void Restart()
    {
      auto policies =
        MakePolicySet("firefly",
                      { .self = mNames[mIndex],
                        .seed = mIndex + 1,
                        .randomCandidates = 2,
                        .peersAnnouncePrompts = true,
                        .disabledParts = { "admission", "hedge" } });
      mArrivals.clear();
      router = std::make_unique<RequestRouter>(
        RequestRouter::Options{ .self = mNames[mIndex],
                                .incarnation = Incarnation(1) },
        std::move(*policies),
        mFleet,
        *this);
      router->SetEntries(mNames, mDeployment.mNow);
    }

    void Arrive(const std::string& aId)
    {
      auto info = MakeRequest(aId, mDeployment.mNow);
      info.service = ServiceId("desk");
      info.model = ModelId();
      info.promptTokens = {};
      info.lateAfter = kAim;
      info.answerTimeout = kTimeout;
      info.maxAttempts = 3;
      mArrivals[info.requestId] = mDeployment.mNow;
      router->OnArrival(std::move(info), mDeployment.mNow);
    }

    void ScheduleTick(Duration aAfter)
    {
      mDeployment.At(aAfter, [this] {
        router->Tick(mDeployment.mNow);
        ScheduleTick(kTick);
      });
    }

    void Receive(const BackendNotice& aNotice)
    {
      router->OnPeerNotice(aNotice, mDeployment.mNow);
    }

    std::unique_ptr<RequestRouter> router;

  private:
    void Dispatch(const DispatchOrder& aOrder) override
    {
      const auto index = mFleet.SlotOf(aOrder.backend).Value();
      mDeployment.mArrivals[index].push_back(mDeployment.mNow);
      mDeployment.At(kWork, [this, index, order = aOrder] {
        const auto arrival = mArrivals.find(order.requestId);
        if (arrival == mArrivals.end()) {
          return; // sent before a restart
        }
        const auto now = mDeployment.mNow;
        router->OnRateLimit(
          order.backend, kRun, mDeployment.mLimits[index], now);
        mDeployment.answered++;
        mDeployment.answeredLate += now - arrival->second > kAim ? 1 : 0;
        mArrivals.erase(arrival);
        router->OnFirstToken(order.requestId, order.attempt, now);
        router->OnFinish(order.requestId, order.attempt, now);
      });
    }
    void Cancel(const RequestId& /*aId*/, AttemptNumber /*aAttempt*/) override
    {
    }
    void Refuse(const RequestId& aId, const Refusal& aRefusal) override
    {
      mDeployment.refused++;
      mDeployment.refusedForLimit +=
        aRefusal.reason == RefusalReason::kRateLimit ? 1 : 0;
      mDeployment.refusedLate +=
        mDeployment.mNow - mArrivals.at(aId) > 100ms ? 1 : 0;
      mArrivals.erase(aId);
    }
    void Fail(const RequestId& aId, FailureReason /*aReason*/) override
    {
      mArrivals.erase(aId);
    }
    void Announce(const BackendNotice& aNotice) override
    {
      for (std::size_t i = 0; i < mDeployment.mHosts.size(); ++i) {
        if (i != mIndex) {
          mDeployment.Deliver(mIndex, i, aNotice);
        }
      }
    }

    Deployment& mDeployment;
    std::size_t mIndex;
    std::vector<HostId> mNames;
    FleetView mFleet;
    std::map<RequestId, Instant> mArrivals;
  };

  void At(Duration aAfter, std::function<void()> aRun)
  {
    mEvents.push({ mNow + aAfter, ++mEventNumber, std::move(aRun) });
  }

  void Deliver(std::size_t aFrom, std::size_t aTo, const BackendNotice& aNotice)
  {
    if (mIsCut[aFrom] != mIsCut[aTo] || mRandom.Uniform() < mOptions.loss) {
      return;
    }
    const auto delay = FromSeconds(0.001 + 0.004 * mRandom.Uniform());
    At(delay, [this, aTo, aNotice] { mHosts[aTo]->Receive(aNotice); });
  }

  void ScheduleArrival()
  {
    const double pause =
      -std::log(1 - mRandom.Uniform()) / mOptions.requestsPerSecond;
    At(FromSeconds(pause), [this] {
      const auto host = mRandom.Below(mHosts.size());
      mHosts[host]->Arrive("q" + std::to_string(++mRequestNumber));
      ScheduleArrival();
    });
  }

  Options mOptions;
  Random mRandom;
  Instant mNow{};
  // By backend server, in order.
  std::vector<std::vector<Instant>> mArrivals;
  std::vector<std::optional<RequestRate>> mLimits;
  std::vector<std::unique_ptr<Host>> mHosts;
  std::vector<bool> mIsCut;
  std::priority_queue<Event> mEvents;
  std::uint64_t mEventNumber = 0;
  std::uint64_t mRequestNumber = 0;
};

constexpr RequestRate kLimit{ 8 };

std::size_t
Allowed(RequestRate aRate)
{
  return static_cast<std::size_t>(
    kAllowedPart * aRate.Value() * ToSeconds(kWindow) + kAllowedMore);
}

} // namespace

TEST_GROUP(RateLimitLoadTest){
  // Plays twice the load that the limits allow, and checks that they are kept
  // and used.
  void CheckOverload(const Options& aOptions){ Deployment deployment(aOptions);
deployment.Play(5s);
deployment.Limit(kLimit);
deployment.Play(1s);
const auto from = deployment.Now();
deployment.Play(20s);
const auto to = deployment.Now();
CHECK(deployment.MostInWindow(from, to - kWindow) <= Allowed(kLimit));
const double allowed = static_cast<double>(aOptions.backends) * kLimit.Value() *
                       ToSeconds(to - from);
CHECK(static_cast<double>(deployment.Sent(from, to)) > 0.95 * allowed);
CHECK(deployment.refused > 0);
LONGS_EQUAL(0, deployment.refusedLate);
CHECK(deployment.answeredLate * 50 <= deployment.answered);
}
}
;

TEST(RateLimitLoadTest, NineHostsKeepAndUseTheLimits)
{
  CheckOverload({ .hosts = 9, .requestsPerSecond = 48 });
}

TEST(RateLimitLoadTest, NinetyHostsKeepAndUseTheLimits)
{
  CheckOverload({ .hosts = 90, .requestsPerSecond = 48, .seed = 2 });
}

TEST(RateLimitLoadTest, LostNoticesDoNotBreakTheLimits)
{
  CheckOverload(
    { .hosts = 9, .requestsPerSecond = 48, .loss = 0.1, .seed = 3 });
}

TEST(RateLimitLoadTest, ABackendServerThatAloneServesKeepsItsLimit)
{
  CheckOverload(
    { .hosts = 9, .backends = 1, .requestsPerSecond = 16, .seed = 4 });
}

TEST(RateLimitLoadTest, RequestsWithinTheLimitsAreNeitherRefusedNorLate)
{
  Deployment deployment({ .hosts = 9, .requestsPerSecond = 18, .seed = 5 });
  deployment.Limit(kLimit);
  deployment.Play(30s);
  LONGS_EQUAL(0, deployment.refused);
  CHECK(deployment.answeredLate * 100 <= deployment.answered);
}

TEST(RateLimitLoadTest, HostsThatLoseEachOthersNewsKeepTheLimits)
{
  Deployment deployment({ .hosts = 9, .requestsPerSecond = 48, .seed = 6 });
  deployment.Limit(kLimit);
  deployment.Play(5s);
  const auto from = deployment.Now();
  deployment.Cut(3);
  deployment.Play(1s);
  deployment.DetectCut();
  deployment.Play(8s);
  CHECK(deployment.MostInWindow(from, deployment.Now() - kWindow) <=
        Allowed(kLimit));
}

TEST(RateLimitLoadTest, ARestartedHostLearnsTheLimitsFromTheOthers)
{
  Deployment deployment({ .hosts = 9, .requestsPerSecond = 48, .seed = 7 });
  deployment.Limit(kLimit);
  deployment.Play(5s);
  const auto from = deployment.Now();
  for (std::size_t i = 0; i < 9; ++i) {
    deployment.Restart(i);
    deployment.Play(1s);
  }
  CHECK(deployment.MostInWindow(from, deployment.Now() - kWindow) <=
        Allowed(kLimit));
}

TEST(RateLimitLoadTest, LimitsThatFallRiseAndEndAreFollowed)
{
  Deployment deployment({ .hosts = 9, .requestsPerSecond = 48, .seed = 8 });
  deployment.Limit(RequestRate(12));
  deployment.Play(8s);
  deployment.Limit(RequestRate(4));
  deployment.Play(1s);
  const auto from = deployment.Now();
  deployment.Play(8s);
  CHECK(deployment.MostInWindow(from, deployment.Now() - kWindow) <=
        Allowed(RequestRate(4)));
  deployment.Limit(RequestRate(10));
  deployment.Play(1s);
  const auto risen = deployment.Now();
  deployment.Play(8s);
  CHECK(deployment.Sent(risen, risen + 8s) > 0.95 * 3 * 10 * 8);
  deployment.Limit(std::nullopt);
  deployment.Play(1s);
  const int refused = deployment.refused;
  deployment.Play(5s);
  LONGS_EQUAL(refused, deployment.refused);
}
