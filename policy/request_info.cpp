#include "policy/request_info.h"

#include <algorithm>

#include "policy/fleet_view.h"

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

CrashTrait
MakeCrashTrait(CrashTraitKind aKind, std::uint64_t aValue)
{
  return CrashTrait(MixHash(static_cast<std::uint64_t>(aKind) + 1, aValue));
}

void
RequestInfo::SetCrashTraits(const std::string& aPath,
                            const std::vector<std::uint64_t>& aPromptParts)
{
  crashTraits = { MakeCrashTrait(CrashTraitKind::kFingerprint,
                                 fingerprint.Value()) };
  const auto add = [this](CrashTraitKind aKind, const std::string& aName) {
    if (!aName.empty()) {
      crashTraits.push_back(MakeCrashTrait(aKind, StableHash(aName)));
    }
  };
  add(CrashTraitKind::kService, service.Value());
  add(CrashTraitKind::kModel, model.Value());
  add(CrashTraitKind::kRequestType, requestType.Value());
  add(CrashTraitKind::kCustomer, customer.Value());
  add(CrashTraitKind::kPath, aPath);
  const auto n =
    std::min(aPromptParts.size(), kMaxCrashTraits - crashTraits.size());
  for (auto i = aPromptParts.size() - n; i < aPromptParts.size(); ++i) {
    crashTraits.push_back(
      MakeCrashTrait(CrashTraitKind::kPromptPart, aPromptParts[i]));
  }
  std::ranges::sort(crashTraits);
  crashTraits.erase(std::unique(crashTraits.begin(), crashTraits.end()),
                    crashTraits.end());
}

} // namespace firefly::policy
