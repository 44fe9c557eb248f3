#include "servers/http1/memory_budget.h"

#include <utility>

namespace firefly {

bool
MemoryBudget::Allows(std::size_t aFrom, std::size_t aTo) const
{
  const auto others = mHeld - aFrom;
  const auto limit = aTo <= kSmallBytes ? mLimit : mLimit - mLimit / 4;
  return others == 0 || others + aTo <= limit;
}

void
MemoryBudget::Change(MemoryUse aUse, std::size_t aFrom, std::size_t aTo)
{
  auto& held = mHeldByUse[static_cast<std::size_t>(aUse)];
  held += aTo - aFrom;
  mHeld += aTo - aFrom;
  if (aTo < aFrom && mOnRelease) {
    mOnRelease();
  }
}

MemoryReservation::MemoryReservation(MemoryReservation&& aOther) noexcept
  : mBudget(std::move(aOther.mBudget))
  , mUse(aOther.mUse)
  , mBytes(std::exchange(aOther.mBytes, 0))
{
}

MemoryReservation&
MemoryReservation::operator=(MemoryReservation&& aOther) noexcept
{
  if (this != &aOther) {
    Set(0);
    mBudget = std::move(aOther.mBudget);
    mUse = aOther.mUse;
    mBytes = std::exchange(aOther.mBytes, 0);
  }
  return *this;
}

bool
MemoryReservation::TryReserve(std::size_t aBytes)
{
  if (aBytes > mBytes) {
    if (mBudget && !mBudget->Allows(mBytes, aBytes)) {
      return false;
    }
    Set(aBytes);
  }
  return true;
}

void
MemoryReservation::Set(std::size_t aBytes)
{
  const auto before = std::exchange(mBytes, aBytes);
  if (mBudget && before != aBytes) {
    mBudget->Change(mUse, before, aBytes);
  }
}

void
MemoryReservation::SetUse(MemoryUse aUse)
{
  const auto bytes = mBytes;
  Set(0);
  mUse = aUse;
  Set(bytes);
}

} // namespace firefly
