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
    // log's retention time.
    Duration checkpointInterval = std::chrono::minutes(10);
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

  // When this process read the newest claim or renewal. A candidate's waiting
  // time starts then. If the stream has no claim, this is when that was found.
  [[nodiscard]] Instant LeaseReadAt() const { return mLeaseReadAt; }

  // Appends a checkpoint if the last one is older than the checkpoint interval
  // or if the start of the history was lost without a checkpoint. The lease
  // holder calls it on each tick, a candidate while the state is not ready.
  void MaintainCheckpoint();

private:
  void OnApplied(const RecordId& aId,
                 LogOffset aOffset,
                 bool aAccepted) override;
  void OnCaughtUp() override;
  void UpdateLeaseReadAt();

  Options mOptions;
  Executor& mExecutor;
  AuthorityState mState;
  StreamFold mFold;
  ConfirmedWriter mWriter;
  std::optional<LogOffset> mLeaseRecord;
  bool mHasReadLease = false;
  Instant mLeaseReadAt{};
  bool mIsCheckpointing = false;
};

} // namespace firefly::coord
