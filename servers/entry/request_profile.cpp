#include "servers/entry/request_profile.h"

#include <algorithm>

#include "policy/fleet_view.h"
#include "policy/request_limiter.h"

namespace firefly {

namespace {

constexpr std::size_t kBytesPerToken = 4;
constexpr std::size_t kBlockTokens = 64;
constexpr std::size_t kBlockBytes = kBlockTokens * kBytesPerToken;
constexpr std::size_t kMaxBlocks = 512;

policy::RequestInfo
MakeCommonInfo(const CallerHead& aHead,
               const RequestId& aId,
               const policy::RequestLimiter& aLimits,
               Instant aArrival)
{
  policy::RequestInfo info;
  info.requestId = aId;
  info.service = aHead.service->id;
  info.requestType = aHead.type->name;
  info.customer = aHead.customer;
  info.arrival = aArrival;
  info.worth = policy::Worth(aHead.type->worth);
  info.lateAfter = aHead.type->lateAfter;
  const auto* row =
    aLimits.RowFor(info.service, info.requestType, info.customer);
  if (row != nullptr) {
    info.worth = row->worth;
    info.lateAfter = row->lateAfter;
    info.weight = row->weight;
  }
  return info;
}

policy::Fingerprint
FingerprintOf(const std::string& aTarget, const std::string& aBody)
{
  return policy::Fingerprint(
    policy::MixHash(policy::StableHash(aTarget), policy::StableHash(aBody)));
}

} // namespace

std::vector<std::uint64_t>
PrefixHashes(const std::string& aPrompt)
{
  std::vector<std::uint64_t> hashes;
  const auto blocks = std::min(aPrompt.size() / kBlockBytes, kMaxBlocks);
  std::uint64_t hash = 0;
  for (std::size_t i = 0; i < blocks; ++i) {
    const auto block = aPrompt.substr(i * kBlockBytes, kBlockBytes);
    hash = policy::MixHash(hash, policy::StableHash(block));
    hashes.push_back(hash);
  }
  return hashes;
}

policy::Tokens
EstimateTokens(const std::string& aText)
{
  const auto tokens = aText.size() / kBytesPerToken + 1;
  return policy::Tokens(static_cast<std::uint32_t>(tokens));
}

policy::RequestInfo
MakeRequestInfo(const ModelCall& aCall,
                const RequestId& aId,
                const policy::RequestLimiter& aLimits,
                Instant aArrival)
{
  auto info = MakeCommonInfo(aCall.head, aId, aLimits, aArrival);
  info.model = aCall.head.service->model;
  info.promptTokens = EstimateTokens(aCall.prompt);
  info.maxOutputTokens = policy::Tokens(aCall.maxTokens);
  info.prefixHashes = PrefixHashes(aCall.prompt);
  info.prefixBlockTokens = policy::Tokens(kBlockTokens);
  info.fingerprint = FingerprintOf(aCall.path, aCall.body);
  info.SetCrashTraits("", {});
  return info;
}

policy::RequestInfo
MakeRequestInfo(const PlainCall& aCall,
                const RequestId& aId,
                const policy::RequestLimiter& aLimits,
                Instant aArrival)
{
  auto info = MakeCommonInfo(aCall.head, aId, aLimits, aArrival);
  info.idempotent = aCall.head.type->idempotent;
  const auto target =
    info.service.Value() + '/' + info.requestType.Value() + '?' + aCall.query;
  info.fingerprint = FingerprintOf(target, aCall.body);
  info.SetCrashTraits("", {});
  return info;
}

} // namespace firefly
