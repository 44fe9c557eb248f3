#include "policy/request_info.h"

namespace firefly::policy {

EngineUrgency
UrgencyOf(Lane aLane)
{
  return EngineUrgency(static_cast<std::uint8_t>(aLane));
}

Tokens
RequestInfo::PrefixTokens(std::size_t aBlocks) const
{
  if (aBlocks == 0) {
    return Tokens(0);
  }
  if (!prefixEnds.empty()) {
    return prefixEnds.at(aBlocks - 1);
  }
  return Tokens(
    static_cast<std::uint32_t>(aBlocks * prefixBlockTokens.Value()));
}

} // namespace firefly::policy
