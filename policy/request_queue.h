#pragma once

// The entry's own bounded queue: requests that were admitted and wait for room
// at a backend server. None of them was dispatched.

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <unordered_map>
#include <vector>

#include "policy/request_info.h"

namespace firefly::policy {

// A waiting request with what orders it.
struct QueuedRequest
{
  RequestId requestId;
  Lane lane = Lane::kNormal;
  // Worth times weight for each engine second.
  double worthPerSecond = 0;
  Instant firstTokenDeadline{};
};

class RequestQueue
{
public:
  virtual ~RequestQueue() = default;

  // Adds a request. If the queue is full, the one that gives way is returned;
  // it may be the new one.
  virtual std::optional<QueuedRequest> Push(QueuedRequest aRequest) = 0;

  // Takes the best request that aCanRun accepts. A refusal by aCanRun holds
  // for its whole lane in this call.
  virtual std::optional<QueuedRequest> Pop(
    const std::function<bool(const QueuedRequest&)>& aCanRun) = 0;

  // Takes the request out; false if it isn't there.
  virtual bool Remove(const RequestId& aId) = 0;

  // Takes out all whose first-token deadline is before the time.
  virtual std::vector<QueuedRequest> Expire(Instant aDeadline) = 0;

  [[nodiscard]] virtual std::size_t Size() const = 0;
  [[nodiscard]] virtual std::size_t Bound() const = 0;
};

// Orders by worth for each engine second (in steps of a doubling), then by
// deadline, in three lanes; short work is asked first.
class WorthQueue : public RequestQueue
{
public:
  struct Options
  {
    std::size_t bound = 256;
    // One order of arrival instead, for a plain policy.
    bool firstInFirstOut = false;
  };

  WorthQueue() = default;
  explicit WorthQueue(Options aOptions);

  std::optional<QueuedRequest> Push(QueuedRequest aRequest) override;
  std::optional<QueuedRequest> Pop(
    const std::function<bool(const QueuedRequest&)>& aCanRun) override;
  bool Remove(const RequestId& aId) override;
  std::vector<QueuedRequest> Expire(Instant aDeadline) override;
  [[nodiscard]] std::size_t Size() const override { return mPlaces.size(); }
  [[nodiscard]] std::size_t Bound() const override { return mOptions.bound; }

private:
  // The smaller key goes first.
  struct Key
  {
    int worthStep = 0;
    Instant deadline{};
    std::uint64_t sequence = 0;
    // NOLINTNEXTLINE(modernize-use-nullptr): a false finding on defaults
    auto operator<=>(const Key&) const = default;
  };
  using LaneQueue = std::map<Key, QueuedRequest>;
  struct Place
  {
    std::size_t lane;
    Key key;
  };

  [[nodiscard]] Key KeyOf(const QueuedRequest& aRequest);
  [[nodiscard]] std::optional<Place> Last() const;
  QueuedRequest Take(const Place& aPlace);

  Options mOptions;
  std::uint64_t mSequence = 0;
  std::vector<LaneQueue> mLanes{ 3 };
  std::unordered_map<RequestId, Place> mPlaces;
};

} // namespace firefly::policy
