#include "policy/fleet_view.h"

#include <algorithm>
#include <utility>

namespace firefly::policy {

const BackendCapacity&
RoleCapacities::Of(EngineRole aRole) const
{
  switch (aRole) {
    case EngineRole::kPrefill:
      return prefill;
    case EngineRole::kDecode:
      return decode;
    case EngineRole::kMixed:
      break;
  }
  return mixed;
}

std::string_view
ToString(WorkPhase aPhase)
{
  switch (aPhase) {
    case WorkPhase::kWhole:
      return "whole";
    case WorkPhase::kPrefill:
      return "prompt";
    case WorkPhase::kDecode:
      return "output";
  }
  return "unknown";
}

std::string_view
ToString(EngineRole aRole)
{
  switch (aRole) {
    case EngineRole::kPrefill:
      return "prefill";
    case EngineRole::kDecode:
      return "decode";
    case EngineRole::kMixed:
      break;
  }
  return "mixed";
}

bool
Backend::Serves(const RequestInfo& aRequest, WorkPhase aPhase) const
{
  if (isPrefillOnly != (aPhase == WorkPhase::kPrefill) ||
      aRequest.requiredVersion.value_or(softwareVersion) != softwareVersion) {
    return false;
  }
  if (aRequest.NeedsEngine()) {
    return kind == BackendKind::kEngine &&
           std::find(models.begin(), models.end(), aRequest.model) !=
             models.end();
  }
  return kind == BackendKind::kPlain &&
         std::find(services.begin(), services.end(), aRequest.service) !=
           services.end();
}

BackendSlot
FleetView::Upsert(Backend aBackend)
{
  const auto it = mSlots.find(aBackend.id);
  if (it != mSlots.end()) {
    mBackends[it->second.Value()] = std::move(aBackend);
    return it->second;
  }
  const BackendSlot slot(static_cast<std::uint32_t>(mBackends.size()));
  mSlots.emplace(aBackend.id, slot);
  mHashes.push_back(StableHash(aBackend.id.Value()));
  mSlotsByHash.emplace(mHashes.back(), slot);
  mBackends.push_back(std::move(aBackend));
  return slot;
}

bool
FleetView::SetState(const BackendId& aId, BackendState aState)
{
  auto* const backend = FindMutable(aId);
  if (!backend) {
    return false;
  }
  backend->state = aState;
  return true;
}

bool
FleetView::SetRole(const BackendId& aId,
                   EngineRole aRole,
                   const BackendCapacity& aCapacity)
{
  auto* const backend = FindMutable(aId);
  if (!backend) {
    return false;
  }
  backend->role = aRole;
  backend->capacity = aCapacity;
  return true;
}

bool
FleetView::Remove(const BackendId& aId)
{
  return SetState(aId, BackendState::kClosed);
}

const Backend*
FleetView::Find(const BackendId& aId) const
{
  const auto it = mSlots.find(aId);
  return it == mSlots.end() ? nullptr : &mBackends[it->second.Value()];
}

BackendSlot
FleetView::SlotOf(const BackendId& aId) const
{
  return mSlots.at(aId);
}

std::optional<BackendSlot>
FleetView::SlotOfHash(std::uint64_t aHash) const
{
  const auto it = mSlotsByHash.find(aHash);
  if (it == mSlotsByHash.end()) {
    return std::nullopt;
  }
  return it->second;
}

Backend*
FleetView::FindMutable(const BackendId& aId)
{
  const auto it = mSlots.find(aId);
  return it == mSlots.end() ? nullptr : &mBackends[it->second.Value()];
}

std::uint64_t
StableHash(const std::string& aText)
{
  constexpr std::uint64_t kOffset = 0xCBF29CE484222325ULL;
  constexpr std::uint64_t kPrime = 0x100000001B3ULL;
  std::uint64_t hash = kOffset;
  for (const char ch : aText) {
    hash = (hash ^ static_cast<unsigned char>(ch)) * kPrime;
  }
  return MixHash(hash, 0);
}

SoftwareVersion
SoftwareVersionOf(const ServiceId& aService, const std::string& aVersion)
{
  return SoftwareVersion(
    MixHash(StableHash(aService.Value()), StableHash(aVersion)));
}

std::uint64_t
MixHash(std::uint64_t aLeft, std::uint64_t aRight)
{
  std::uint64_t n = aLeft ^ (aRight * 0x9E3779B97F4A7C15ULL);
  n = (n ^ (n >> 30)) * 0xBF58476D1CE4E5B9ULL;
  n = (n ^ (n >> 27)) * 0x94D049BB133111EBULL;
  return n ^ (n >> 31);
}

} // namespace firefly::policy
