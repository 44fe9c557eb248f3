#include "policy/poison_quarantine.h"

#include <CppUTest/TestHarness.h>

using namespace std::chrono_literals;
using firefly::Instant;
using firefly::policy::Fingerprint;
using firefly::policy::PoisonVerdict;
using firefly::policy::SuspectPoisonQuarantine;
using firefly::policy::Tokens;

namespace {

constexpr Fingerprint kRequest(7);

} // namespace

TEST_GROUP(PoisonQuarantineTest){};

TEST(PoisonQuarantineTest, SecondCrashQuarantinesTheRequest)
{
  SuspectPoisonQuarantine quarantine;
  quarantine.OnCrash(kRequest, Tokens(0), Instant(0s), Instant(1s));
  CHECK(quarantine.VerdictOf(kRequest, Instant(1s)) == PoisonVerdict::kSuspect);
  quarantine.OnCrash(kRequest, Tokens(0), Instant(1s), Instant(2s));
  CHECK(quarantine.VerdictOf(kRequest, Instant(2s)) ==
        PoisonVerdict::kQuarantined);
  LONGS_EQUAL(1, quarantine.Quarantined(Instant(2s)).size());
  CHECK(quarantine.VerdictOf(kRequest, Instant(1h)) == PoisonVerdict::kClear);
}

TEST(PoisonQuarantineTest, CopiesRunningAtOneCrashAreNotQuarantined)
{
  SuspectPoisonQuarantine quarantine;
  quarantine.OnCrash(kRequest, Tokens(0), Instant(0s), Instant(1s));
  quarantine.OnCrash(kRequest, Tokens(0), Instant(0s), Instant(1s));
  CHECK(quarantine.VerdictOf(kRequest, Instant(1s)) == PoisonVerdict::kSuspect);
}

TEST(PoisonQuarantineTest, SuspectPastThePointOfTheCrashIsCleared)
{
  SuspectPoisonQuarantine quarantine;
  quarantine.OnCrash(kRequest, Tokens(100), Instant(0s), Instant(1s));
  quarantine.OnProgress(kRequest, Tokens(101));
  CHECK(quarantine.VerdictOf(kRequest, Instant(2s)) == PoisonVerdict::kSuspect);
  quarantine.OnProgress(kRequest, Tokens(116));
  CHECK(quarantine.VerdictOf(kRequest, Instant(2s)) == PoisonVerdict::kClear);
}

TEST(PoisonQuarantineTest, SuspectsAndQuarantinesOfPeersApply)
{
  SuspectPoisonQuarantine reported;
  reported.OnPeerReport({}, { kRequest.Value() }, Instant(1s));
  CHECK(reported.VerdictOf(kRequest, Instant(1s)) == PoisonVerdict::kSuspect);
  // A suspicion that a peer reported is not passed on. Otherwise it would
  // return to the entry that observed the crash after that entry has cleared
  // it.
  LONGS_EQUAL(0, reported.Suspects(Instant(1s)).size());
  reported.OnCrash(kRequest, Tokens(0), Instant(0s), Instant(2s));
  CHECK(reported.VerdictOf(kRequest, Instant(2s)) ==
        PoisonVerdict::kQuarantined);
  SuspectPoisonQuarantine other;
  other.OnPeerReport(reported.Quarantined(Instant(2s)), {}, Instant(3s));
  CHECK(other.VerdictOf(kRequest, Instant(3s)) == PoisonVerdict::kQuarantined);
}

TEST(PoisonQuarantineTest, NumberOfSuspectsIsBounded)
{
  SuspectPoisonQuarantine quarantine(
    SuspectPoisonQuarantine::Options{ .maxRecords = 10 });
  for (std::uint64_t i = 0; i < 100; ++i) {
    quarantine.OnCrash(Fingerprint(i),
                       Tokens(0),
                       Instant(0s),
                       Instant(std::chrono::milliseconds(i)));
  }
  LONGS_EQUAL(10, quarantine.Suspects(Instant(1s)).size());
}
