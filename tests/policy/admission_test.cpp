#include "policy/admission.h"

#include "tests/policy/builders.h"

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
MakeLoad(firefly::Duration aWait, double aSeconds)
{
  LoadSummary load;
  load.expectedWait = aWait;
  load.queueBound = 10;
  load.engineSeconds = aSeconds;
  return load;
}

} // namespace

TEST_GROUP(AdmissionTest){};

TEST(AdmissionTest, RefusesRequestsThatCannotMeetTheirDeadline)
{
  WorthAdmission admission;
  const auto request = MakeRequest("r");
  const auto refused = admission.Decide(request, MakeLoad(2s, 0.1), Instant{});
  CHECK(refused.action == AdmissionAction::kRefuse);
  CHECK(refused.reason == RefusalReason::kDeadline);
  CHECK(refused.retryAfter >= 1s);
  const auto admitted =
    admission.Decide(request, MakeLoad(10ms, 0.1), Instant{});
  CHECK(admitted.action == AdmissionAction::kAdmit);
}

// The price rises while requests cannot be in time, so that requests with less
// worth per engine second are refused first. When the load falls, the price
// returns to zero.
TEST(AdmissionTest, PriceRefusesRequestsOfLowWorthAndReturnsToZero)
{
  WorthAdmission admission;
  auto valuable = MakeRequest("valuable");
  valuable.worth = Worth(3);
  const auto cheap = MakeRequest("cheap");
  for (int i = 0; i < 30; ++i) {
    admission.Decide(valuable, MakeLoad(10ms, 0.1), Instant{});
    admission.Decide(cheap, MakeLoad(10ms, 0.1), Instant{});
  }
  for (int i = 0; i < 40; ++i) {
    admission.Decide(valuable, MakeLoad(2s, 0.1), Instant{});
  }
  CHECK(admission.Price() > 10);
  const auto refused = admission.Decide(cheap, MakeLoad(10ms, 0.1), Instant{});
  CHECK(refused.reason == RefusalReason::kOverload);
  const auto admitted =
    admission.Decide(valuable, MakeLoad(10ms, 0.1), Instant{});
  CHECK(admitted.action == AdmissionAction::kAdmit);
  for (int i = 0; i < 3000; ++i) {
    admission.Decide(valuable, MakeLoad(10ms, 0.1), Instant{});
  }
  DOUBLES_EQUAL(0, admission.Price(), 0);
}
