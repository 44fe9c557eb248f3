#pragma once

// Keeps the limits that backend servers in need name: how many requests a
// second each of them takes from all hosts together.
//
// The load it answers: many hosts, each with few requests, send to the same
// backend servers. A fixed share of the limit for each host would be less than
// one request in many seconds, so the hosts share one schedule instead: each
// send takes the next free place in time and is announced to the others at
// once. A request takes its place when it arrives, not when the place is due,
// so that hosts whose requests wait do not all send at the same moment.

#include <cstdint>
#include <optional>
#include <unordered_map>
#include <vector>

#include "core/clock.h"
#include "core/strong_type.h"
#include "policy/fleet_view.h"

namespace firefly::policy {

// Requests a second.
using RequestRate = StrongType<struct RequestRateTag, double>;

// What is known about the limit of one run of a backend server.
struct RateLimitNews
{
  // Start time of the backend server's process, which identifies the run.
  std::uint64_t startedAt = 0;
  // The limit; empty if the last answer named none.
  std::optional<RequestRate> rate{};
  // When the answer arrived, at this host or at another one.
  Instant heardAt{};
};

class BackendRateLimiter
{
public:
  struct Options
  {
    // Places that remain unused are kept for this time. A backend server then
    // gets what it allows in this time at once, in addition to its rate.
    Duration burst = std::chrono::milliseconds(500);
    // A lower limit counts as this, because the end of a limit is learned from
    // answers only.
    RequestRate minRate{ 0.2 };
    // Places that a rejection takes from this host. If hosts do not hear of
    // each other's sends, rejections slow them down.
    double placesPerRejection = 2;
    // Hosts that were live within this time count as possibly cut off from this
    // one, and still sending.
    Duration hostMemory = std::chrono::seconds(10);
  };

  BackendRateLimiter() = default;
  explicit BackendRateLimiter(Options aOptions);

  // Takes over news from an answer or from another host, unless later ones are
  // known. Returns whether the limit is another one than before.
  bool OnNews(BackendSlot aSlot, const RateLimitNews& aNews);

  // Takes the next places, for sends of this host or another one.
  void TakePlaces(BackendSlot aSlot, std::uint32_t aCount, Instant aNow);

  // The backend server rejected a request although this host kept the limit.
  void OnRejection(BackendSlot aSlot, Instant aNow);

  // Sets the number of live hosts including this one. A host that sees less
  // than half of the recent ones may be cut off with the others, and uses only
  // their part of each limit.
  void SetHostCount(std::size_t aCount, Instant aNow);

  // The time until the next free place; zero if the run has no limit.
  [[nodiscard]] Duration WaitAt(BackendSlot aSlot,
                                std::uint64_t aStartedAt,
                                Instant aNow) const;

  // The limit of the run, or empty.
  [[nodiscard]] std::optional<RequestRate> LimitOf(
    BackendSlot aSlot,
    std::uint64_t aStartedAt) const;

  // What is known of the backend server, or null.
  [[nodiscard]] const RateLimitNews* NewsOf(BackendSlot aSlot) const;

  // Whether the known run of the backend server has a limit.
  [[nodiscard]] bool IsLimited(BackendSlot aSlot) const
  {
    const auto* news = NewsOf(aSlot);
    return news != nullptr && news->rate.has_value();
  }

  // Whether any backend server has a limit.
  [[nodiscard]] bool HasLimits() const { return mLimitCount > 0; }
  [[nodiscard]] std::size_t LimitCount() const { return mLimitCount; }

private:
  struct Record
  {
    RateLimitNews news;
    // The next free place of a schedule without burst.
    Instant nextPlace{};
  };
  struct HostCount
  {
    Instant at{};
    std::size_t count = 0;
  };

  // The time between two places.
  [[nodiscard]] Duration Interval(const Record& aRecord, Instant aNow) const;
  // The part of each limit that this host and those that it hears of may use.
  [[nodiscard]] double Part(Instant aNow) const;

  Options mOptions;
  std::unordered_map<BackendSlot, Record> mRecords;
  std::size_t mLimitCount = 0;
  // Numbers of live hosts within the host memory, the oldest first.
  std::vector<HostCount> mHostCounts;
};

} // namespace firefly::policy
