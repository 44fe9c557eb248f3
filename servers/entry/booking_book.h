#pragma once

// The bookings of this entry whose outcome is not settled, for operators and
// for a graceful shutdown.

#include <cstddef>
#include <deque>
#include <string>

#include "core/clock.h"
#include "core/ids.h"

namespace firefly {

// A booking that may have run.
struct UnknownBooking
{
  BookingKey key;
  ServiceId service;
  RequestType requestType;
  WallTime since;
};

class BookingBook
{
public:
  // The newest ones are kept.
  void AddUnknown(UnknownBooking aBooking);

  [[nodiscard]] const std::deque<UnknownBooking>& Unknown() const
  {
    return mUnknown;
  }

  // Outcomes and abandonings that are on their way to the ledger.
  void OnRecordStarted() { ++mRecords; }
  void OnRecordEnded() { --mRecords; }
  [[nodiscard]] std::size_t Records() const { return mRecords; }

private:
  static constexpr std::size_t kMaxUnknown = 256;

  std::deque<UnknownBooking> mUnknown;
  std::size_t mRecords = 0;
};

} // namespace firefly
