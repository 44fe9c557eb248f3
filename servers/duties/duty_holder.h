#pragma once

// Holds the duties, the calls to the platform's API that one host makes at a
// time, by a lease in the log. Only the two live relays with the smallest host
// ids are candidates, so that few hosts read the lease's stream.

#include <functional>
#include <memory>
#include <optional>

#include "coord/lease.h"
#include "servers/duties/duty_client.h"
#include "servers/log/log.h"

namespace firefly {

class DutyHolder : private coord::LeaseObserver
{
public:
  struct Options
  {
    HostId host;
    Incarnation incarnation;
    coord::StreamName stream{ "duties" };
    Duration lease = std::chrono::seconds(3);
    // State charts of the lease and of the backend servers; must outlive the
    // holder.
    const StateChart* authorityChart = nullptr;
    const StateChart* backendChart = nullptr;
    std::uint64_t seed = 1;
  };

  // All of these must outlive the holder.
  struct Parts
  {
    Executor* executor = nullptr;
    coord::LogClient* log = nullptr;
    // Returns this relay's rank among the live ones, starting at 0.
    std::function<std::size_t()> rank;
  };

  DutyHolder(Options aOptions, Parts aParts);
  ~DutyHolder() override;
  DutyHolder(const DutyHolder&) = delete;
  DutyHolder& operator=(const DutyHolder&) = delete;

  // Must be called once.
  void Start();

  // Ends the candidacy; the lease expires.
  void Stop();

  // The fencing token while this relay holds the duties; checked before each
  // call.
  [[nodiscard]] std::optional<DutyToken> Held() const;

  // The log was restored from a copy. Gives up the duties; this relay becomes a
  // candidate again only when each lease that the copy may lack has expired.
  // The former holder comes first, since it knows what it wrote to the log.
  void OnLogRestored();

  // Whether this relay held the duties last, as far as it knows.
  [[nodiscard]] bool WasLastHolder() const { return mWasLastHolder; }

  // Gives up a token that the platform has rejected. The relay may become a
  // candidate again and gets a higher one.
  void Abandon();

  [[nodiscard]] bool IsCandidate() const { return mCandidacy != nullptr; }

  // The holder as far as this candidate has read the log; empty if it is not a
  // candidate or has read no claim. Its lease may have expired.
  [[nodiscard]] std::optional<DutyHolderId> CurrentHolder() const;

private:
  struct Candidacy;

  void OnAcquired(FencingNumber aFence) override;
  void OnLost() override;
  void OnHolderChanged(const coord::LeaseHolder& aHolder) override;

  void Tick();
  void BecomeCandidate();

  Options mOptions;
  Parts mParts;
  Log mLog{ "duties" };
  // Since when the rank has been, or has not been, one of a candidate.
  Instant mRankSince{};
  bool mHasRank = false;
  std::unique_ptr<Candidacy> mCandidacy;
  Instant mNotCandidateBefore{};
  bool mWasLastHolder = false;
  Timer mTimer;
};

} // namespace firefly
