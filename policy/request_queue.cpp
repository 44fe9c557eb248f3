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
  const auto key = KeyOf(aRequest);
  const auto lane = static_cast<std::size_t>(aRequest.lane);
  mPlaces[aRequest.requestId] = { lane, key };
  mLanes[lane].emplace(key, std::move(aRequest));
  if (Size() <= mOptions.bound) {
    return std::nullopt;
  }
  return Take(*Last());
}

std::optional<QueuedRequest>
WorthQueue::Pop(const std::function<bool(const QueuedRequest&)>& aCanRun)
{
  std::vector<std::size_t> order;
  for (std::size_t i = 0; i < mLanes.size(); ++i) {
    if (!mLanes[i].empty()) {
      order.push_back(i);
    }
  }
  std::sort(order.begin(), order.end(), [this](auto aLeft, auto aRight) {
    return mLanes[aLeft].begin()->first < mLanes[aRight].begin()->first;
  });
  for (const auto lane : order) {
    const auto& [key, request] = *mLanes[lane].begin();
    if (aCanRun(request)) {
      return Take({ lane, key });
    }
  }
  return std::nullopt;
}

bool
WorthQueue::Remove(const RequestId& aId)
{
  const auto it = mPlaces.find(aId);
  if (it == mPlaces.end()) {
    return false;
  }
  Take(Place(it->second));
  return true;
}

std::vector<QueuedRequest>
WorthQueue::Expire(Instant aDeadline)
{
  std::vector<Place> late;
  for (std::size_t i = 0; i < mLanes.size(); ++i) {
    for (const auto& [key, request] : mLanes[i]) {
      if (request.firstTokenDeadline < aDeadline) {
        late.push_back({ i, key });
      }
    }
  }
  std::vector<QueuedRequest> expired;
  expired.reserve(late.size());
  for (const auto& place : late) {
    expired.push_back(Take(place));
  }
  return expired;
}

WorthQueue::Key
WorthQueue::KeyOf(const QueuedRequest& aRequest)
{
  if (mOptions.firstInFirstOut) {
    return { .worthStep = 0, .deadline = {}, .sequence = mSequence++ };
  }
  constexpr double kLeast = 1e-9;
  const double worth = std::max(kLeast, aRequest.worthPerSecond);
  return { .worthStep = -static_cast<int>(std::floor(std::log2(worth))),
           .deadline = aRequest.firstTokenDeadline,
           .sequence = mSequence++ };
}

std::optional<WorthQueue::Place>
WorthQueue::Last() const
{
  std::optional<Place> last;
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
WorthQueue::Take(const Place& aPlace)
{
  auto node = mLanes[aPlace.lane].extract(aPlace.key);
  mPlaces.erase(node.mapped().requestId);
  return std::move(node.mapped());
}

} // namespace firefly::policy
