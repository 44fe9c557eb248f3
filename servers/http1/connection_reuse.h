#pragma once

// Decides which calls a connection to a backend server may carry one after the
// other.
//
// A backend server may send a second copy of a response late, where the next
// response on the connection is expected. Only the request id tells the two
// apart. A connection therefore carries each request id at most once, and none
// after a response whose request is unknown.

#include <cstddef>
#include <vector>

#include "core/ids.h"

namespace firefly {

// Which call of a connection a response belongs to.
enum class ResponseMatch : std::uint8_t
{
  kThisCall,
  // A late response to an earlier call. It is skipped.
  kOtherCall,
  // The response names no request. It is taken for the response to this call.
  kUnidentified,
};

class ConnectionReuse
{
public:
  // A connection ends after this many calls, which bounds the memory of the
  // ids that it has carried to 8 KB.
  static constexpr std::size_t kMaxCalls = 1024;

  // Whether the connection may carry a call of this request. The id is empty
  // for a call whose response names no request; such a call and a call whose
  // response has no body take a connection of their own, because a late
  // response could not be skipped there.
  [[nodiscard]] bool MayCarry(const RequestId& aRequest, bool aNoBody) const;

  // Records a call that the connection carries.
  void OnCall(const RequestId& aRequest, bool aNoBody);

  // Records a response. Returns false if it can't be the response to the
  // running call: all earlier responses on the connection have named their
  // requests, or it would have ended, so that one that names none belongs to no
  // request.
  bool OnResponse(ResponseMatch aMatch);

  // Whether the connection may carry any further call.
  [[nodiscard]] bool MayCarryMore() const;

private:
  // Hashes of the carried ids. Two ids with the same hash only cost a new
  // connection.
  std::vector<std::size_t> mCarried;
  bool mIsExclusive = false;
};

} // namespace firefly
