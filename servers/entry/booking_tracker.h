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

class BookingTracker
{
public:
  // The newest ones are kept.
  void AddUnknownBooking(UnknownBooking aBooking);

  [[nodiscard]] const std::deque<UnknownBooking>& UnknownBookings() const
  {
    return mUnknownBookings;
  }

  // Outcomes and abandonings that are on their way to the ledger.
  void OnRecordCallStarted() { ++mPendingRecordCalls; }
  void OnRecordCallEnded() { --mPendingRecordCalls; }
  [[nodiscard]] std::size_t PendingRecordCalls() const
  {
    return mPendingRecordCalls;
  }

private:
  static constexpr std::size_t kMaxUnknownBookings = 256;

  std::deque<UnknownBooking> mUnknownBookings;
  std::size_t mPendingRecordCalls = 0;
};

} // namespace firefly
