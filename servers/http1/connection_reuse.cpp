#include "servers/http1/connection_reuse.h"

#include <algorithm>
#include <functional>
#include <string>

namespace firefly {

namespace {

bool
NeedsOwnConnection(const RequestId& aRequest, bool aNoBody)
{
  return aNoBody || aRequest.Value().empty();
}

std::size_t
HashOf(const RequestId& aRequest)
{
  return std::hash<std::string>{}(aRequest.Value());
}

} // namespace

bool
ConnectionReuse::MayCarry(const RequestId& aRequest, bool aNoBody) const
{
  if (mCarried.empty() && !mIsExclusive) {
    return true;
  }
  return MayCarryMore() && !NeedsOwnConnection(aRequest, aNoBody) &&
         std::ranges::find(mCarried, HashOf(aRequest)) == mCarried.end();
}

void
ConnectionReuse::OnCall(const RequestId& aRequest, bool aNoBody)
{
  mIsExclusive = mIsExclusive || NeedsOwnConnection(aRequest, aNoBody);
  mCarried.push_back(HashOf(aRequest));
}

bool
ConnectionReuse::OnResponse(ResponseMatch aMatch)
{
  if (aMatch != ResponseMatch::kUnidentified) {
    return true;
  }
  mIsExclusive = true;
  return mCarried.size() == 1;
}

bool
ConnectionReuse::MayCarryMore() const
{
  return !mIsExclusive && mCarried.size() < kMaxCalls;
}

} // namespace firefly
