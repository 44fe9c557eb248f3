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
  const LaneId lane{ aRequest.service, aRequest.lane };
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
  std::vector<const LaneQueue*> lanes;
  lanes.reserve(mLanes.size());
  for (const auto& [id, lane] : mLanes) {
    lanes.push_back(&lane);
  }
  std::ranges::sort(
    lanes, {}, [](const auto* aLane) { return aLane->begin()->first; });
  for (const auto* lane : lanes) {
    const auto& [key, request] = *lane->begin();
    if (aCanRun(request)) {
      return Extract({ { request.service, request.lane }, key });
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
  for (const auto& [id, lane] : mLanes) {
    for (const auto& [key, request] : lane) {
      if (request.firstTokenDeadline < aDeadline) {
        late.push_back({ id, key });
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
    return { .isLate = false,
             .negatedWorthLog2 = 0,
             .deadline = {},
             .sequence = mSequence++ };
  }
  constexpr double kMinWorth = 1e-9;
  const double worth = std::max(kMinWorth, aRequest.worthPerEngineSecond);
  return { .isLate = aRequest.isLate,
           .negatedWorthLog2 = -static_cast<int>(std::floor(std::log2(worth))),
           .deadline = aRequest.firstTokenDeadline,
           .sequence = mSequence++ };
}

std::optional<WorthQueue::Position>
WorthQueue::LastPosition() const
{
  std::optional<Position> last;
  for (const auto& [id, lane] : mLanes) {
    const auto& key = lane.rbegin()->first;
    if (!last || last->key < key) {
      last = { id, key };
    }
  }
  return last;
}

QueuedRequest
WorthQueue::Extract(const Position& aPosition)
{
  const auto lane = mLanes.find(aPosition.lane);
  auto node = lane->second.extract(aPosition.key);
  if (lane->second.empty()) {
    mLanes.erase(lane);
  }
  mPositions.erase(node.mapped().requestId);
  return std::move(node.mapped());
}

std::size_t
WorthQueue::SizeOf(const ServiceId& aService) const
{
  std::size_t size = 0;
  for (const auto& [id, lane] : mLanes) {
    size += id.first == aService ? lane.size() : 0;
  }
  return size;
}

std::set<ServiceId>
WorthQueue::ServicesInTime() const
{
  std::set<ServiceId> services;
  for (const auto& [id, lane] : mLanes) {
    if (!lane.begin()->first.isLate) {
      services.insert(id.first);
    }
  }
  return services;
}

} // namespace firefly::policy
