#pragma once

// The Retry-After header (RFC 9110, section 10.2.3).

#include <optional>

#include "core/clock.h"
#include "servers/http1/message_reader.h"

namespace firefly {

// Returns the time from the head's own Date, or nothing if there is no valid
// value. Seconds may have a fraction. A date counts only beside a Date header,
// since the local time of day may differ from the sender's.
std::optional<Duration>
ReadRetryAfter(const MessageHead& aHead);

} // namespace firefly
