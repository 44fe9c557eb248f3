#pragma once

// The lease on the fleet's authority. A claim names the previous claim and its
// newest renewal, and is valid only if both are still the newest at the claim's
// offset in the log. That offset is the fencing number. While the log is down
// nobody can renew, so the lease lapses and nobody holds the authority.

#include <cstdint>
#include <functional>
#include <optional>

#include "coord/authority_stream.h"
#include "core/random.h"
#include "core/state_chart.h"

namespace firefly::coord {

// The holder of the authority, as far as the log has been read.
struct LeaseHolder
{
  HostId host{};
  Incarnation incarnation{};
  FencingNumber fence{};
};

// Receives changes of the authority.
class LeaseObserver
{
public:
  virtual ~LeaseObserver() = default;

  // This candidate acquired the authority.
  virtual void OnAcquired(FencingNumber aFence) = 0;
  // This candidate lost the authority: the lease lapsed, was resigned or was
  // taken over.
  virtual void OnLost() = 0;
  // A different claim is now the newest valid one. Not called for a claim of
  // this candidate that was confirmed in time.
  virtual void OnHolderChanged(const LeaseHolder& aHolder) = 0;
};

// One candidate for the authority.
class Lease : private FoldObserver
{
public:
  struct Options
  {
    HostId host{};
    Incarnation incarnation{};
    const StateChart* chart = nullptr; // charts/authority.toml
    // How long a claim or renewal is valid, counted from when it was sent.
    Duration duration = std::chrono::seconds(6);
    // The holder stops this long before the lease ends.
    Duration margin = std::chrono::milliseconds(500);
    // A candidate waits for the duration plus this time after it read the
    // newest renewal. This covers clock drift and orders still in transit to an
    // engine. A holder whose lease lapsed waits for this time after the lapse
    // before it resumes.
    Duration grace = std::chrono::seconds(2);
    Duration renewInterval = std::chrono::seconds(2);
    // Once the lease is free, each candidate waits for a random time up to this
    // one, so that only a few of hundreds of candidates send a claim.
    Duration stagger = std::chrono::seconds(3);
    std::uint64_t seed = 1; // of the random delay within the stagger
  };

  // The stream and the observer must outlive the lease.
  Lease(const Options& aOptions,
        Executor& aExecutor,
        AuthorityStream& aStream,
        LeaseObserver& aObserver);
  Lease(const Lease&) = delete;
  Lease& operator=(const Lease&) = delete;
  ~Lease() override;

  // Becomes a candidate; must be called exactly once.
  void Start();

  // The fencing number while the lease is held and valid; checks the clock on
  // each call.
  [[nodiscard]] std::optional<FencingNumber> Held() const;

  // When Held() becomes empty unless the lease is renewed; in the past if the
  // lease has ended.
  [[nodiscard]] Instant ValidUntil() const { return mValidUntil; }

  // Releases the lease and never claims again. Held() is empty at once. The
  // callback receives true if no lease was held or if the release was read
  // back from the log and accepted. A claim still in progress is not released:
  // if it succeeds, other candidates wait until it expires.
  void Resign(std::function<void(bool)> aCallback);

  // The holder of the newest valid claim, or nothing; that claim may have
  // lapsed.
  [[nodiscard]] std::optional<LeaseHolder> CurrentHolder() const;

  // The chart's state: follower, claiming, holding or lapsed.
  [[nodiscard]] const std::string& State() const { return mMachine.State(); }

  // The number of claims sent.
  [[nodiscard]] std::uint64_t Claims() const { return mClaims; }

private:
  void OnApplied(const RecordId& aId,
                 LogOffset aOffset,
                 bool aAccepted) override;
  void OnCaughtUp() override;
  void Tick();
  void TickFollower();
  void TickHolder();
  void SendClaim();
  void OnClaim(Instant aSent,
               const tl::expected<Confirmation, WriteError>& aResult);
  void SendRenewal();
  void OnRenewal(FencingNumber aFence,
                 Instant aSent,
                 const tl::expected<Confirmation, WriteError>& aResult);
  void Extend(Instant aSent);
  void Lapse();
  void CheckHolder();
  void OnSuperseded();
  void DrawClaimDelay();
  Instant LeaseExpiry() const;

  Options mOptions;
  Executor& mExecutor;
  AuthorityStream& mStream;
  LeaseObserver& mObserver;
  StateMachine mMachine;
  Random mRandom;
  std::optional<FencingNumber> mFence;       // of this candidate's valid claim
  std::optional<FencingNumber> mNewestFence; // of the newest claim read so far
  Instant mRenewSent{};
  Instant mValidUntil{};
  Duration mClaimDelay{}; // the random delay before a claim, up to the stagger
  bool mIsResigned = false;
  std::uint64_t mClaims = 0;
  Timer mTimer;
  Timer mLapseTimer;
  CallbackGuard mGuard;
};

} // namespace firefly::coord
