#pragma once

// Limits the memory that a process holds for its callers. Each holder counts
// what it has allocated. Memory that a caller can make the process hold is
// reserved before it is used; memory that must be held, such as a backend
// server's answer, is counted as well and leaves less for the callers' bodies.

#include <array>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>

namespace firefly {

// What the memory is held for.
enum class MemoryUse : std::uint8_t
{
  // Bytes of requests that have not been received completely.
  kInput,
  // Bodies of requests that wait or are being answered.
  kRequests,
  // Answers that wait for backend servers or for callers that read slowly.
  kAnswers,
};
inline constexpr std::size_t kMemoryUses = 3;

class MemoryBudget
{
public:
  // Reservations of up to this size are small.
  static constexpr std::size_t kSmallBytes = 64U << 10U;

  explicit MemoryBudget(std::size_t aLimit)
    : mLimit(aLimit)
  {
  }

  // Whether a reservation may grow from one size to another. Larger ones leave
  // a quarter of the budget to small ones, so that small requests do not wait
  // behind large bodies. One reservation of any size is granted if nothing else
  // is held.
  [[nodiscard]] bool Allows(std::size_t aFrom, std::size_t aTo) const;

  [[nodiscard]] std::size_t Limit() const { return mLimit; }
  [[nodiscard]] std::size_t Held() const { return mHeld; }
  [[nodiscard]] std::size_t Held(MemoryUse aUse) const
  {
    return mHeldByUse[static_cast<std::size_t>(aUse)];
  }

  // Sets the callback that runs after each release.
  void OnRelease(std::function<void()> aCallback)
  {
    mOnRelease = std::move(aCallback);
  }

private:
  friend class MemoryReservation;

  void Change(MemoryUse aUse, std::size_t aFrom, std::size_t aTo);

  std::size_t mLimit;
  std::size_t mHeld = 0;
  std::array<std::size_t, kMemoryUses> mHeldByUse{};
  std::function<void()> mOnRelease;
};

// Memory that one holder has reserved; released with this object. A
// reservation without a budget is unlimited.
class MemoryReservation
{
public:
  MemoryReservation() = default;
  MemoryReservation(std::shared_ptr<MemoryBudget> aBudget, MemoryUse aUse)
    : mBudget(std::move(aBudget))
    , mUse(aUse)
  {
  }
  ~MemoryReservation() { Set(0); }
  MemoryReservation(MemoryReservation&& aOther) noexcept;
  MemoryReservation& operator=(MemoryReservation&& aOther) noexcept;
  MemoryReservation(const MemoryReservation&) = delete;
  MemoryReservation& operator=(const MemoryReservation&) = delete;

  // Reserves at least this many bytes. Returns false, with nothing changed, if
  // the budget does not allow it.
  [[nodiscard]] bool TryReserve(std::size_t aBytes);

  // Sets the size without regard to the limit.
  void Set(std::size_t aBytes);

  // Counts the memory as held for another use from now on.
  void SetUse(MemoryUse aUse);

  [[nodiscard]] std::size_t Bytes() const { return mBytes; }

private:
  std::shared_ptr<MemoryBudget> mBudget;
  MemoryUse mUse = MemoryUse::kInput;
  std::size_t mBytes = 0;
};

} // namespace firefly
