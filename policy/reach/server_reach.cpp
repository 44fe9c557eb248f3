#include "policy/reach/server_reach.h"

#include <algorithm>

namespace firefly::policy {

ServerReach::ServerReach(Options aOptions)
  : mOptions(aOptions)
  , mRandom(aOptions.seed)
{
}

void
ServerReach::OnConnected(Instant /*aNow*/)
{
  mFailed.clear();
  mBrokenAt.reset();
  if (mIsCutOff && ++mSuccesses >= mOptions.successesToReturn) {
    mIsCutOff = false;
    mPeers.clear();
  }
}

void
ServerReach::OnFailed(const BackendId& aBackend,
                      std::size_t aServers,
                      Instant aNow)
{
  mSuccesses = 0;
  Forget(aNow);
  mFailed[aBackend] = aNow;
  const auto needed =
    std::clamp(aServers, std::size_t{ 1 }, mOptions.minFailedServers);
  mIsCutOff = mIsCutOff || mFailed.size() >= needed;
}

void
ServerReach::OnBroken(Instant aNow)
{
  mBrokenAt = aNow;
}

bool
ServerReach::IsInDoubt(Instant aNow) const
{
  const bool hasBroken =
    mBrokenAt && aNow - *mBrokenAt < mOptions.failureMemory;
  return mIsCutOff || hasBroken ||
         std::ranges::any_of(mFailed, [&](const auto& aIt) {
           return aNow - aIt.second < mOptions.failureMemory;
         });
}

void
ServerReach::Forget(Instant aNow)
{
  std::erase_if(mFailed, [&](const auto& aIt) {
    return aNow - aIt.second >= mOptions.failureMemory;
  });
}

TunnelPeer
ServerReach::PickPeer(const std::vector<std::string>& aPeers, Instant aNow)
{
  std::vector<TunnelPeer> helpful;
  std::vector<TunnelPeer> others;
  for (const auto& it : aPeers) {
    const TunnelPeer peer(it);
    const auto found = mPeers.find(peer);
    const auto record = found == mPeers.end() ? PeerRecord{} : found->second;
    if (record.heldUntil <= aNow) {
      (record.helpedUntil > aNow ? helpful : others).push_back(peer);
    }
  }
  // Now and then another one, so that a host that was cut off first does not
  // stay with the few peers that it found first.
  constexpr double kExplore = 0.1;
  const bool explores =
    !others.empty() && (helpful.empty() || mRandom.Chance(kExplore));
  const auto& from = explores ? others : helpful;
  return from.empty() ? TunnelPeer() : from[mRandom.Below(from.size())];
}

void
ServerReach::OnTunnel(const TunnelPeer& aPeer,
                      TunnelOutcome aOutcome,
                      Instant aNow)
{
  auto& record = mPeers[aPeer];
  switch (aOutcome) {
    case TunnelOutcome::kConnected:
      record.helpedUntil = aNow + mOptions.peerMemory;
      break;
    case TunnelOutcome::kServerUnreachable:
      break;
    case TunnelOutcome::kRefused:
    case TunnelOutcome::kPeerUnreachable:
      record.heldUntil = aNow + mOptions.peerHoldoff;
      record.helpedUntil = {};
      break;
  }
}

} // namespace firefly::policy
