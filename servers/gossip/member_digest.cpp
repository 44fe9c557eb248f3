#include "servers/gossip/member_digest.h"

#include <algorithm>
#include <utility>

#include "coord/codec.h"

namespace firefly {

namespace {

std::string
Encode(const MemberDigest& aDigest)
{
  return coord::FieldWriter()
    .Number(aDigest.table.Value())
    .Flag(aDigest.ready)
    .Text(aDigest.work.Encode())
    .Take();
}

// Removes the half with the smaller weights.
template<typename T, typename Weight>
void
KeepLargestHalf(std::vector<T>& aItems, Weight aWeight)
{
  const auto heavier = [&](const T& aLeft, const T& aRight) {
    return aWeight(aLeft) > aWeight(aRight);
  };
  std::stable_sort(aItems.begin(), aItems.end(), heavier);
  aItems.resize(aItems.size() / 2);
}

} // namespace

std::string
EncodeMemberDigest(MemberDigest aDigest, std::size_t aMaxBytes)
{
  auto bytes = Encode(aDigest);
  auto& work = aDigest.work;
  while (bytes.size() > aMaxBytes &&
         !(work.work.empty() && work.rows.empty() && work.models.empty())) {
    KeepLargestHalf(work.work,
                    [](const auto& aItem) { return aItem.requests; });
    KeepLargestHalf(work.rows,
                    [](const auto& aItem) { return aItem.permillePerSecond; });
    KeepLargestHalf(work.models, [](const auto& aItem) {
      return aItem.outputTokensPerSecond;
    });
    bytes = Encode(aDigest);
  }
  while (bytes.size() > aMaxBytes &&
         !(work.suspects.empty() && work.quarantined.empty() &&
           work.crashSuspicions.empty())) {
    work.crashSuspicions.resize(work.crashSuspicions.size() / 2);
    work.suspects.resize(work.suspects.size() / 2);
    work.quarantined.resize(work.quarantined.size() / 2);
    bytes = Encode(aDigest);
  }
  return bytes;
}

std::optional<MemberDigest>
DecodeMemberDigest(const std::string& aBytes)
{
  coord::FieldReader reader(aBytes);
  MemberDigest digest;
  digest.table = TableVersion(reader.Number());
  digest.ready = reader.Flag();
  const auto work = reader.Text();
  if (!reader.Ok() || !reader.AtEnd()) {
    return std::nullopt;
  }
  auto decoded = policy::Digest::Decode(work);
  if (!decoded) {
    return std::nullopt;
  }
  digest.work = std::move(*decoded);
  return digest;
}

} // namespace firefly
