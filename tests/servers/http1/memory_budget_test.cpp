// Tests the limit on the memory that is held for callers.

#include "servers/http1/memory_budget.h"

#include <memory>
#include <utility>

#include <CppUTest/TestHarness.h>

using firefly::MemoryBudget;
using firefly::MemoryReservation;
using firefly::MemoryUse;

namespace {

constexpr std::size_t kMegabyte = 1U << 20U;

} // namespace

TEST_GROUP(MemoryBudgetTest)
{
  std::shared_ptr<MemoryBudget> budget =
    std::make_shared<MemoryBudget>(4 * kMegabyte);

  MemoryReservation Make(MemoryUse aUse = MemoryUse::kInput)
  {
    return { budget, aUse };
  }
};

TEST(MemoryBudgetTest, ReleasesWithTheReservation)
{
  {
    auto reservation = Make();
    CHECK_TRUE(reservation.TryReserve(kMegabyte));
    const auto moved = std::move(reservation);
    UNSIGNED_LONGS_EQUAL(kMegabyte, budget->Held());
    UNSIGNED_LONGS_EQUAL(kMegabyte, budget->Held(MemoryUse::kInput));
  }
  UNSIGNED_LONGS_EQUAL(0, budget->Held());
}

// Guards against small requests that wait behind large bodies.
TEST(MemoryBudgetTest, LargeReservationsLeaveAQuarterToSmallOnes)
{
  auto first = Make();
  auto second = Make();
  auto third = Make();
  CHECK_TRUE(first.TryReserve(2 * kMegabyte));
  CHECK_FALSE(second.TryReserve(kMegabyte + 1));
  CHECK_TRUE(second.TryReserve(kMegabyte));
  CHECK_FALSE(third.TryReserve(MemoryBudget::kSmallBytes + 1));
  CHECK_TRUE(third.TryReserve(MemoryBudget::kSmallBytes));
}

// Guards against a body inside the limits that no host could ever take.
TEST(MemoryBudgetTest, GrantsOneReservationOfAnySizeIfNothingElseIsHeld)
{
  auto first = Make();
  auto second = Make();
  CHECK_TRUE(first.TryReserve(16 * kMegabyte));
  CHECK_TRUE(first.TryReserve(17 * kMegabyte));
  CHECK_FALSE(second.TryReserve(1));
  first.Set(0);
  CHECK_TRUE(second.TryReserve(1));
}

TEST(MemoryBudgetTest, CountsWhatIsHeldBeyondTheLimit)
{
  auto answer = Make(MemoryUse::kAnswers);
  auto body = Make();
  answer.Set(5 * kMegabyte);
  CHECK_FALSE(body.TryReserve(1));
  UNSIGNED_LONGS_EQUAL(5 * kMegabyte, budget->Held(MemoryUse::kAnswers));
}

TEST(MemoryBudgetTest, ReportsEachRelease)
{
  int releases = 0;
  budget->OnRelease([&] { releases++; });
  auto reservation = Make();
  CHECK_TRUE(reservation.TryReserve(kMegabyte));
  LONGS_EQUAL(0, releases);
  reservation.Set(10);
  LONGS_EQUAL(1, releases);
}

TEST(MemoryBudgetTest, AReservationWithoutABudgetIsUnlimited)
{
  MemoryReservation reservation;
  CHECK_TRUE(reservation.TryReserve(std::size_t{ 1 } << 40U));
}
