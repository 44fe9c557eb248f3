#include "policy/poison_guard.h"

#include <CppUTest/TestHarness.h>

using namespace std::chrono_literals;
using firefly::Instant;
using firefly::policy::Fingerprint;
using firefly::policy::PoisonVerdict;
using firefly::policy::SuspectPoisonGuard;
using firefly::policy::Tokens;

namespace {

constexpr Fingerprint kRequest(7);

} // namespace

TEST_GROUP(PoisonGuardTest){};

TEST(PoisonGuardTest, TheSecondCrashQuarantines)
{
  SuspectPoisonGuard guard;
  guard.OnCrash(kRequest, Tokens(0), Instant(0s), Instant(1s));
  CHECK(guard.VerdictOf(kRequest, Instant(1s)) == PoisonVerdict::kSuspect);
  guard.OnCrash(kRequest, Tokens(0), Instant(1s), Instant(2s));
  CHECK(guard.VerdictOf(kRequest, Instant(2s)) == PoisonVerdict::kQuarantined);
  LONGS_EQUAL(1, guard.Quarantined(Instant(2s)).size());
  CHECK(guard.VerdictOf(kRequest, Instant(1h)) == PoisonVerdict::kClear);
}

TEST(PoisonGuardTest, TwinsAtOneCrashAreNotCondemned)
{
  SuspectPoisonGuard guard;
  guard.OnCrash(kRequest, Tokens(0), Instant(0s), Instant(1s));
  guard.OnCrash(kRequest, Tokens(0), Instant(0s), Instant(1s));
  CHECK(guard.VerdictOf(kRequest, Instant(1s)) == PoisonVerdict::kSuspect);
}

TEST(PoisonGuardTest, ASuspectPastThePointOfTheCrashIsCleared)
{
  SuspectPoisonGuard guard;
  guard.OnCrash(kRequest, Tokens(100), Instant(0s), Instant(1s));
  guard.OnProgress(kRequest, Tokens(101));
  CHECK(guard.VerdictOf(kRequest, Instant(2s)) == PoisonVerdict::kSuspect);
  guard.OnProgress(kRequest, Tokens(116));
  CHECK(guard.VerdictOf(kRequest, Instant(2s)) == PoisonVerdict::kClear);
}

TEST(PoisonGuardTest, PeersSuspicionsAndQuarantinesCount)
{
  SuspectPoisonGuard told;
  told.OnPeer({}, { kRequest.Value() }, Instant(1s));
  CHECK(told.VerdictOf(kRequest, Instant(1s)) == PoisonVerdict::kSuspect);
  // What others told is not told on: a suspicion must end where it began.
  LONGS_EQUAL(0, told.Suspects(Instant(1s)).size());
  told.OnCrash(kRequest, Tokens(0), Instant(0s), Instant(2s));
  CHECK(told.VerdictOf(kRequest, Instant(2s)) == PoisonVerdict::kQuarantined);
  SuspectPoisonGuard other;
  other.OnPeer(told.Quarantined(Instant(2s)), {}, Instant(3s));
  CHECK(other.VerdictOf(kRequest, Instant(3s)) == PoisonVerdict::kQuarantined);
}

TEST(PoisonGuardTest, KeepsABoundedNumber)
{
  SuspectPoisonGuard guard(SuspectPoisonGuard::Options{ .bound = 10 });
  for (std::uint64_t i = 0; i < 100; ++i) {
    guard.OnCrash(Fingerprint(i),
                  Tokens(0),
                  Instant(0s),
                  Instant(std::chrono::milliseconds(i)));
  }
  LONGS_EQUAL(10, guard.Suspects(Instant(1s)).size());
}
