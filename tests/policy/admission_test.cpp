#include "policy/admission.h"

#include "tests/policy/fakes.h"

#include <CppUTest/TestHarness.h>

using namespace std::chrono_literals;
using firefly::Instant;
using firefly::policy::AdmissionAction;
using firefly::policy::LoadSummary;
using firefly::policy::RefusalReason;
using firefly::policy::Worth;
using firefly::policy::WorthAdmission;
using firefly::policy::test::MakeRequest;

namespace {

LoadSummary
Load(firefly::Duration aWait, double aSeconds)
{
  LoadSummary load;
  load.expectedWait = aWait;
  load.queueBound = 10;
  load.engineSeconds = aSeconds;
  return load;
}

} // namespace

TEST_GROUP(AdmissionTest){};

TEST(AdmissionTest, RefusesWhatCannotBeInTime)
{
  WorthAdmission admission;
  const auto request = MakeRequest("r");
  const auto late = admission.Decide(request, Load(2s, 0.1), Instant{});
  CHECK(late.action == AdmissionAction::kRefuse);
  CHECK(late.reason == RefusalReason::kDeadline);
  CHECK(late.retryAfter >= 1s);
  const auto soon = admission.Decide(request, Load(10ms, 0.1), Instant{});
  CHECK(soon.action == AdmissionAction::kAdmit);
}

// While requests can't be in time the price rises, and those worth less for
// their work are refused before those worth more; afterwards it falls to zero.
TEST(AdmissionTest, ThePriceShedsTheLeastWorthyAndFallsAgain)
{
  WorthAdmission admission;
  auto dear = MakeRequest("dear");
  dear.worth = Worth(3);
  const auto cheap = MakeRequest("cheap");
  for (int i = 0; i < 30; ++i) {
    admission.Decide(dear, Load(10ms, 0.1), Instant{});
    admission.Decide(cheap, Load(10ms, 0.1), Instant{});
  }
  for (int i = 0; i < 40; ++i) {
    admission.Decide(dear, Load(2s, 0.1), Instant{});
  }
  CHECK(admission.Price() > 10);
  const auto shed = admission.Decide(cheap, Load(10ms, 0.1), Instant{});
  CHECK(shed.reason == RefusalReason::kOverload);
  const auto kept = admission.Decide(dear, Load(10ms, 0.1), Instant{});
  CHECK(kept.action == AdmissionAction::kAdmit);
  for (int i = 0; i < 3000; ++i) {
    admission.Decide(dear, Load(10ms, 0.1), Instant{});
  }
  DOUBLES_EQUAL(0, admission.Price(), 0);
}
