#pragma once

// One process's copy of the "authority" stream's state. Lease and OrderJournal
// build on it, and entries read the plan from it.

#include <cstdint>
#include <optional>

#include "coord/authority_state.h"
#include "coord/confirmed_writer.h"

namespace firefly::coord {

// Follows the stream and writes to it. Entries only read.
class AuthorityStream : private FoldObserver
{
public:
  struct Options
  {
    StreamName stream{ "authority" };
    WriterId writer;
    const StateChart* backendChart = nullptr; // charts/backend.toml
    Duration pollInterval = std::chrono::seconds(1);
    // How often the authority appends a new checkpoint. Must be well below the
    // log's retention time. A stream that holds nothing but a lease needs one
    // within each lease only: an older lease has expired.
    Duration checkpointInterval = std::chrono::seconds(3);
    // Where the stream ended when this process, as the newest holder of its
    // lease, last read it; empty if it was not that. If the stream ends there
    // still, no other process can hold the lease.
    std::optional<LogOffset> formerEnd{};
    std::uint64_t seed = 1; // of the jitter
  };

  AuthorityStream(const Options& aOptions,
                  Executor& aExecutor,
                  LogClient& aLog);
  AuthorityStream(const AuthorityStream&) = delete;
  AuthorityStream& operator=(const AuthorityStream&) = delete;
  ~AuthorityStream() override;

  // Starts reading; must be called exactly once.
  void Start() { mFold.Start(); }

  // The folded state; only valid while Folding().Ready().
  [[nodiscard]] const AuthorityState& State() const { return mState; }

  // The fold of the stream, for Ready(), FreshAt() and observers.
  [[nodiscard]] StreamFold& Folding() { return mFold; }
  [[nodiscard]] const StreamFold& Folding() const { return mFold; }

  // Writes to the stream and reports what the fold made of each record.
  [[nodiscard]] ConfirmedWriter& Writer() { return mWriter; }

  // The part of the stream in which no lease was stated since LeaseReadAt().
  [[nodiscard]] SilentSpan Silent() const
  {
    return { .from = mSilentFrom, .to = mFold.Position() };
  }

  // When this process read the newest claim or renewal. A candidate's waiting
  // time starts then. If the stream has no claim, this is when that was found.
  [[nodiscard]] Instant LeaseReadAt() const { return mLeaseReadAt; }

  // Whether another process may hold the lease although the state has none: the
  // claim and its renewals may be among the records that the log has removed.
  [[nodiscard]] bool MayHideLease() const { return mMayHideLease; }

  // Appends a checkpoint if the last one is older than the checkpoint interval,
  // or if the log has removed the history, with the state from before. The
  // lease holder calls it with each renewal.
  void MaintainCheckpoint();

private:
  void OnApplied(const RecordId& aId,
                 LogOffset aOffset,
                 bool aAccepted) override;
  void OnCaughtUp() override;
  void UpdateLeaseReadAt();
  void OnUndecided(LogOffset aOffset, const Envelope& aRecord) override;
  void NoteRestart();

  Options mOptions;
  Executor& mExecutor;
  AuthorityState mState;
  StreamFold mFold;
  ConfirmedWriter mWriter;
  std::optional<LogOffset> mLeaseRecord;
  bool mHasReadLease = false;
  Instant mLeaseReadAt{};
  // Of the reader, when the end of the stream was last reached.
  std::uint64_t mRestarts = 0;
  bool mMayHideLease = false;
  LogOffset mSilentFrom{};
  bool mIsCheckpointing = false;
};

} // namespace firefly::coord
