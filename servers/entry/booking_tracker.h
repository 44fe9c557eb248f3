#pragma once

// Tracks this entry's bookings whose outcome is not settled. Operators see them
// in the status report, and a graceful shutdown waits for the calls that record
// outcomes.

#include <cstddef>
#include <deque>
#include <string>

#include "core/clock.h"
#include "core/ids.h"

namespace firefly {

// A booking that may have run, but whose outcome is not known.
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
  // Adds a booking. Only the newest kMaxUnknownBookings are kept.
  void AddUnknownBooking(UnknownBooking aBooking);

  [[nodiscard]] const std::deque<UnknownBooking>& UnknownBookings() const
  {
    return mUnknownBookings;
  }

  // Counts the calls to the ledger that record an outcome or abandon a permit
  // and have not ended yet.
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
