#pragma once

// The interface to the platform's API for duties, the calls that one host makes
// at a time.

#include <cstdint>
#include <functional>
#include <string_view>

#include "core/ids.h"
#include "policy/usage/usage_report.h"

namespace firefly {

// The fencing token of the duties: at least 1, larger for each later holder.
using DutyToken = StrongType<struct DutyTokenTag, std::uint64_t>;

// Who makes a call.
struct DutyHolderId
{
  HostId host;
  DutyToken token;
};

// How many servers of one kind a service should have in a failure domain.
struct ServerOrder
{
  ServiceId service;
  DomainId domain;
  std::uint32_t servers = 0;
  // Spot servers are cheaper but may be reclaimed.
  bool isSpot = false;

  bool operator==(const ServerOrder&) const = default;
};

enum class DutyOutcome : std::uint8_t
{
  kAnswered,
  // A higher token was seen. The call must not be repeated with this one.
  kRejectedForToken,
  // No servers are available, or a higher token was seen: the platform gives
  // both the same status. An order must not be repeated with the same token.
  kNoneAvailable,
  kTooManyCalls,
  // The API rejects the content of the call, so it would do so again.
  kInvalid,
  // It is not known whether the call takes effect, now or later.
  kNoResponse,
};

[[nodiscard]] std::string_view
ToString(DutyOutcome aOutcome);

// Callbacks run exactly once and never inside the call; a client that is
// destroyed drops them.
class DutyClient
{
public:
  using Callback = std::function<void(DutyOutcome)>;

  virtual ~DutyClient() = default;

  virtual void ReportUsage(const DutyHolderId& aHolder,
                           const policy::UsageReport& aReport,
                           Callback aCallback) = 0;
  virtual void OrderServers(const DutyHolderId& aHolder,
                            const ServerOrder& aOrder,
                            Callback aCallback) = 0;
};

} // namespace firefly
