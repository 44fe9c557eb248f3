#include "servers/entry/booking_tracker.h"

#include <utility>

namespace firefly {

void
BookingTracker::AddUnknownBooking(UnknownBooking aBooking)
{
  if (mUnknownBookings.size() == kMaxUnknownBookings) {
    mUnknownBookings.pop_front();
  }
  mUnknownBookings.push_back(std::move(aBooking));
}

} // namespace firefly
