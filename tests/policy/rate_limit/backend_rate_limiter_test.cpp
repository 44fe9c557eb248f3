#include "policy/rate_limit/backend_rate_limiter.h"

#include <CppUTest/TestHarness.h>

using namespace std::chrono_literals;
using firefly::Duration;
using firefly::Instant;
using firefly::policy::BackendRateLimiter;
using firefly::policy::BackendSlot;
using firefly::policy::RateLimitNews;
using firefly::policy::RequestRate;

namespace {

constexpr std::uint64_t kRun = 7;

} // namespace

TEST_GROUP(BackendRateLimiterTest)
{
  BackendRateLimiter limiter;
  BackendSlot slot{ 3 };
  Instant now{ 100s };

  bool Name(std::optional<RequestRate> aRate, std::uint64_t aRun = kRun)
  {
    return limiter.OnNews(slot,
                          { .startedAt = aRun, .rate = aRate, .heardAt = now });
  }

  [[nodiscard]] Duration Wait() const
  {
    return limiter.WaitAt(slot, kRun, now);
  }

  // Sends whenever the limit allows it and returns the number of sends.
  int SendFor(Duration aTime)
  {
    int sent = 0;
    for (const auto end = now + aTime; now < end; now += 1ms) {
      while (Wait() == Duration::zero()) {
        limiter.TakePlaces(slot, 1, now);
        sent++;
      }
    }
    return sent;
  }
};

TEST(BackendRateLimiterTest, SendsAsOftenAsTheLimitAllows)
{
  CHECK(Wait() == Duration::zero());
  CHECK_TRUE(Name(RequestRate(6)));
  // 6 a second and the places of the last 0.5 s.
  LONGS_EQUAL(60 + 3, SendFor(10s));
  now += 1h;
  LONGS_EQUAL(24 + 3, SendFor(4s));
}

TEST(BackendRateLimiterTest, SendsOfOtherHostsTakePlaces)
{
  Name(RequestRate(10));
  limiter.TakePlaces(slot, 25, now);
  CHECK(Wait() == 2s);
  now += 2s;
  CHECK(Wait() == Duration::zero());
}

TEST(BackendRateLimiterTest, ALimitEndsWithAnAnswerThatNamesNone)
{
  Name(RequestRate(1));
  limiter.TakePlaces(slot, 9, now);
  CHECK(Wait() > Duration::zero());
  now += 1ms;
  CHECK_TRUE(Name(std::nullopt));
  CHECK(Wait() == Duration::zero());
  CHECK_FALSE(limiter.HasLimits());
  CHECK_FALSE(Name(std::nullopt));
}

TEST(BackendRateLimiterTest, OlderNewsDoesNotBringAnEndedLimitBack)
{
  Name(RequestRate(5));
  const RateLimitNews old{ .startedAt = kRun,
                           .rate = RequestRate(5),
                           .heardAt = now };
  now += 1s;
  Name(std::nullopt);
  CHECK_FALSE(limiter.OnNews(slot, old));
  CHECK_FALSE(limiter.HasLimits());
}

TEST(BackendRateLimiterTest, ALimitThatFallsOrRisesTakesEffectAtOnce)
{
  Name(RequestRate(10));
  CHECK_FALSE(Name(RequestRate(10)));
  CHECK_TRUE(Name(RequestRate(2)));
  LONGS_EQUAL(20 + 1, SendFor(10s));
  CHECK_TRUE(Name(RequestRate(20)));
  LONGS_EQUAL(200, SendFor(10s));
}

TEST(BackendRateLimiterTest, ALimitDoesNotOutlastTheRunThatNamedIt)
{
  Name(RequestRate(1));
  limiter.TakePlaces(slot, 9, now);
  CHECK(limiter.WaitAt(slot, kRun + 1, now) == Duration::zero());
  // News of the new run replaces the schedule of the one before.
  now += 1ms;
  CHECK_TRUE(Name(RequestRate(1), kRun + 1));
  CHECK(limiter.WaitAt(slot, kRun + 1, now) == Duration::zero());
}

TEST(BackendRateLimiterTest, ALimitOfZeroStillLetsItsEndBeLearned)
{
  Name(RequestRate(0));
  LONGS_EQUAL(3, SendFor(11s));
}

TEST(BackendRateLimiterTest, RejectionsSlowThisHostDown)
{
  Name(RequestRate(10));
  limiter.OnRejection(slot, now);
  CHECK(Wait() == 200ms);
}

TEST(BackendRateLimiterTest, HostsThatAreCutOffUseTheirPartOfTheLimit)
{
  Name(RequestRate(10));
  limiter.SetHostCount(10, now);
  now += 1s;
  limiter.SetHostCount(2, now);
  LONGS_EQUAL(8 + 1, SendFor(4s));
  // The larger part of the hosts uses the whole limit.
  limiter.SetHostCount(8, now);
  LONGS_EQUAL(40, SendFor(4s));
  // So does a host whose peers have been gone for long.
  limiter.SetHostCount(1, now);
  now += 11s;
  LONGS_EQUAL(45, SendFor(4s));
}

// Guards against a host that forgets its peers at the moment it is cut off from
// them, because their number had not changed for long.
TEST(BackendRateLimiterTest, HostsThatAreCutOffAfterACalmTimeUseTheirPartToo)
{
  Name(RequestRate(10));
  limiter.SetHostCount(10, now);
  now += 60s;
  limiter.SetHostCount(2, now);
  LONGS_EQUAL(8 + 1, SendFor(4s));
}
