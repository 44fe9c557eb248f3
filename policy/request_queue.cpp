#include "policy/request_queue.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace firefly::policy {

WorthQueue::WorthQueue(Options aOptions)
  : mOptions(aOptions)
{
}

std::optional<QueuedRequest>
WorthQueue::Push(QueuedRequest aRequest)
{
  const auto key = MakeKey(aRequest);
  const auto lane = static_cast<std::size_t>(aRequest.lane);
  mPositions[aRequest.requestId] = { lane, key };
  mLanes[lane].emplace(key, std::move(aRequest));
  if (Size() <= mOptions.maxSize) {
    return std::nullopt;
  }
  return Extract(*LastPosition());
}

std::optional<QueuedRequest>
WorthQueue::Pop(const std::function<bool(const QueuedRequest&)>& aCanRun)
{
  std::vector<std::size_t> laneOrder;
  for (std::size_t i = 0; i < mLanes.size(); ++i) {
    if (!mLanes[i].empty()) {
      laneOrder.push_back(i);
    }
  }
  std::sort(
    laneOrder.begin(), laneOrder.end(), [this](auto aLeft, auto aRight) {
      return mLanes[aLeft].begin()->first < mLanes[aRight].begin()->first;
    });
  for (const auto lane : laneOrder) {
    const auto& [key, request] = *mLanes[lane].begin();
    if (aCanRun(request)) {
      return Extract({ lane, key });
    }
  }
  return std::nullopt;
}

bool
WorthQueue::Remove(const RequestId& aId)
{
  const auto it = mPositions.find(aId);
  if (it == mPositions.end()) {
    return false;
  }
  Extract(Position(it->second));
  return true;
}

std::vector<QueuedRequest>
WorthQueue::Expire(Instant aDeadline)
{
  std::vector<Position> late;
  for (std::size_t i = 0; i < mLanes.size(); ++i) {
    for (const auto& [key, request] : mLanes[i]) {
      if (request.firstTokenDeadline < aDeadline) {
        late.push_back({ i, key });
      }
    }
  }
  std::vector<QueuedRequest> expired;
  expired.reserve(late.size());
  for (const auto& position : late) {
    expired.push_back(Extract(position));
  }
  return expired;
}

WorthQueue::Key
WorthQueue::MakeKey(const QueuedRequest& aRequest)
{
  if (mOptions.firstInFirstOut) {
    return { .negatedWorthLog2 = 0, .deadline = {}, .sequence = mSequence++ };
  }
  constexpr double kMinWorth = 1e-9;
  const double worth = std::max(kMinWorth, aRequest.worthPerEngineSecond);
  return { .negatedWorthLog2 = -static_cast<int>(std::floor(std::log2(worth))),
           .deadline = aRequest.firstTokenDeadline,
           .sequence = mSequence++ };
}

std::optional<WorthQueue::Position>
WorthQueue::LastPosition() const
{
  std::optional<Position> last;
  for (std::size_t i = 0; i < mLanes.size(); ++i) {
    if (mLanes[i].empty()) {
      continue;
    }
    const auto& key = mLanes[i].rbegin()->first;
    if (!last || last->key < key) {
      last = { i, key };
    }
  }
  return last;
}

QueuedRequest
WorthQueue::Extract(const Position& aPosition)
{
  auto node = mLanes[aPosition.lane].extract(aPosition.key);
  mPositions.erase(node.mapped().requestId);
  return std::move(node.mapped());
}

} // namespace firefly::policy
