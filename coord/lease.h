#pragma once

// The lease on the fleet's authority. A claim names the claim and the newest
// renewal that it replaces, and counts only if both are still the newest at
// its place in the log; its offset is the fencing number. With the log down
// nobody renews, the lease lapses and nobody leads.

#include <cstdint>
#include <functional>
#include <optional>

#include "coord/authority_stream.h"
#include "core/random.h"
#include "core/state_chart.h"

namespace firefly::coord {

// Who holds the authority, as far as the log was read.
struct LeaseHolder
{
  HostId host{};
  Incarnation incarnation{};
  FencingNumber fence{};
};

// Hears of changes of the authority.
class LeaseObserver
{
public:
  virtual ~LeaseObserver() = default;

  // This candidate holds the authority now.
  virtual void OnAcquired(FencingNumber aFence) = 0;
  // It doesn't any more: the lease lapsed, was resigned or was taken over.
  virtual void OnLost() = 0;
  // The newest valid claim is another one.
  virtual void OnHolderChanged(const LeaseHolder& aHolder) = 0;
};

// One candidate.
class Lease : private FoldObserver
{
public:
  struct Options
  {
    HostId host{};
    Incarnation incarnation{};
    const StateChart* chart = nullptr; // charts/authority.toml
    // How long a claim or renewal holds, from before it was sent.
    Duration duration = std::chrono::seconds(6);
    // The holder stops this much earlier.
    Duration margin = std::chrono::milliseconds(500);
    // A challenger waits this much longer, from when it read the newest
    // renewal. Covers clock drift and bytes still on their way to an engine. A
    // holder whose lease lapsed waits as long before it goes on.
    Duration grace = std::chrono::seconds(2);
    Duration renewInterval = std::chrono::seconds(2);
    // Candidates claim at a random time within this span after the wait, so
    // that at most a few of hundreds claim.
    Duration stagger = std::chrono::seconds(3);
    std::uint64_t seed = 1; // of the stagger
  };

  // The stream and the observer must outlive the lease.
  Lease(const Options& aOptions,
        Executor& aExecutor,
        AuthorityStream& aStream,
        LeaseObserver& aObserver);
  Lease(const Lease&) = delete;
  Lease& operator=(const Lease&) = delete;
  ~Lease() override;

  // Becomes a candidate; call it once.
  void Start();

  // The fencing number while the lease holds; asks the clock on each call.
  [[nodiscard]] std::optional<FencingNumber> Held() const;

  // When Held() ends unless the lease is renewed; the past if it has ended.
  [[nodiscard]] Instant ValidUntil() const { return mValidUntil; }

  // Gives the lease up and stays out; Held() ends at once. The callback tells
  // whether the release is known to stand in the log.
  void Resign(std::function<void(bool)> aCallback);

  // The newest valid claim, or nothing; the claim may have lapsed.
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
  void NoticeHolder();
  void Supersede();
  void DrawDelay();
  Instant LeaseOver() const;

  Options mOptions;
  Executor& mExecutor;
  AuthorityStream& mStream;
  LeaseObserver& mObserver;
  StateMachine mMachine;
  Random mRandom;
  std::optional<FencingNumber> mFence; // of the own claim that counts
  std::optional<FencingNumber> mSeen;  // the newest claim noticed
  Instant mRenewSent{};
  Instant mValidUntil{};
  Duration mDelay{}; // this candidate's place in the stagger
  bool mResigned = false;
  std::uint64_t mClaims = 0;
  Timer mTimer;
  Timer mLapseTimer;
  CallbackGuard mGuard;
};

} // namespace firefly::coord
