#include "servers/entry/booking_book.h"

#include <utility>

namespace firefly {

void
BookingBook::AddUnknown(UnknownBooking aBooking)
{
  if (mUnknown.size() == kMaxUnknown) {
    mUnknown.pop_front();
  }
  mUnknown.push_back(std::move(aBooking));
}

} // namespace firefly
