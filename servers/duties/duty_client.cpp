#include "servers/duties/duty_client.h"

namespace firefly {

std::string_view
ToString(DutyOutcome aOutcome)
{
  switch (aOutcome) {
    case DutyOutcome::kAnswered:
      return "answered";
    case DutyOutcome::kRejectedForToken:
      return "rejected for the token";
    case DutyOutcome::kNoneAvailable:
      return "none available";
    case DutyOutcome::kTooManyCalls:
      return "too many calls";
    case DutyOutcome::kInvalid:
      return "invalid";
    case DutyOutcome::kNoResponse:
      return "no response";
  }
  return "unknown";
}

} // namespace firefly
