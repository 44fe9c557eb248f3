#pragma once

// The entry's bounded queue of admitted requests that wait for capacity on a
// backend server. None of them has been dispatched.

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <unordered_map>
#include <utility>
#include <vector>

#include "policy/request_info.h"

namespace firefly::policy {

// A waiting request with the values that determine its position.
struct QueuedRequest
{
  RequestId requestId;
  Lane lane = Lane::kNormal;
  // The request's worth multiplied by its weight, per expected engine second.
  double worthPerEngineSecond = 0;
  // The time until which the request is of use in its present position: when
  // the first token is due, and, once it is late, when the caller gives up.
  Instant firstTokenDeadline{};
  // Requests for different services need different backend servers, so that one
  // that cannot run does not hold up those of another service.
  ServiceId service{};
  // The first token is late already. Such a request runs after all that can
  // still be in time.
  bool isLate = false;
};

class RequestQueue
{
public:
  virtual ~RequestQueue() = default;

  // Adds a request. If the queue is full, removes and returns the request with
  // the lowest priority, which may be the new one.
  virtual std::optional<QueuedRequest> Push(QueuedRequest aRequest) = 0;

  // Removes and returns the first request that aCanRun accepts. When aCanRun
  // rejects a request, this call skips the rest of its service's lane.
  virtual std::optional<QueuedRequest> Pop(
    const std::function<bool(const QueuedRequest&)>& aCanRun) = 0;

  // Removes the request; returns false if it is not in the queue.
  virtual bool Remove(const RequestId& aId) = 0;

  // Removes and returns all requests whose first-token deadline is before the
  // given time.
  virtual std::vector<QueuedRequest> Expire(Instant aDeadline) = 0;

  // The number of waiting requests for the service.
  [[nodiscard]] virtual std::size_t SizeOf(const ServiceId& aService) const = 0;

  // The services for which requests that are not late are waiting.
  [[nodiscard]] virtual std::set<ServiceId> ServicesInTime() const = 0;

  [[nodiscard]] virtual std::size_t Size() const = 0;
  [[nodiscard]] virtual std::size_t MaxSize() const = 0;
};

// Orders requests that can be in time before late ones, then by worth per
// engine second, rounded down to a power of two, and then by deadline. Each
// lane of each service is a queue of its own; Pop tries them in the order of
// their first requests.
class WorthQueue : public RequestQueue
{
public:
  struct Options
  {
    std::size_t maxSize = 256;
    // Uses the order of arrival instead, for baseline policies.
    bool firstInFirstOut = false;
  };

  WorthQueue() = default;
  explicit WorthQueue(Options aOptions);

  std::optional<QueuedRequest> Push(QueuedRequest aRequest) override;
  std::optional<QueuedRequest> Pop(
    const std::function<bool(const QueuedRequest&)>& aCanRun) override;
  bool Remove(const RequestId& aId) override;
  std::vector<QueuedRequest> Expire(Instant aDeadline) override;
  [[nodiscard]] std::size_t SizeOf(const ServiceId& aService) const override;
  [[nodiscard]] std::set<ServiceId> ServicesInTime() const override;
  [[nodiscard]] std::size_t Size() const override { return mPositions.size(); }
  [[nodiscard]] std::size_t MaxSize() const override
  {
    return mOptions.maxSize;
  }

private:
  // Requests with smaller keys run first.
  struct Key
  {
    bool isLate = false;
    int negatedWorthLog2 = 0;
    Instant deadline{};
    std::uint64_t sequence = 0;
    // NOLINTNEXTLINE(modernize-use-nullptr): a false finding on defaults
    auto operator<=>(const Key&) const = default;
  };
  using LaneQueue = std::map<Key, QueuedRequest>;
  using LaneId = std::pair<ServiceId, Lane>;
  struct Position
  {
    LaneId lane;
    Key key;
  };

  [[nodiscard]] Key MakeKey(const QueuedRequest& aRequest);
  [[nodiscard]] std::optional<Position> LastPosition() const;
  QueuedRequest Extract(const Position& aPosition);

  Options mOptions;
  std::uint64_t mSequence = 0;
  // Lanes without requests are removed.
  std::map<LaneId, LaneQueue> mLanes;
  std::unordered_map<RequestId, Position> mPositions;
};

} // namespace firefly::policy
