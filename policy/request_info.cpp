#include "policy/request_info.h"

namespace firefly::policy {

int
EnginePriority(Lane aLane)
{
  return static_cast<int>(aLane);
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
