#pragma once

// One process's view of the "authority" stream: the lease, the journal and the
// entries' view of the plan stand on it.

#include <cstdint>
#include <optional>

#include "coord/authority_state.h"
#include "coord/confirmed_writer.h"

namespace firefly::coord {

// Tails the stream and writes to it. An entry only reads.
class AuthorityStream : private FoldObserver
{
public:
  struct Options
  {
    StreamName stream{ "authority" };
    WriterId writer;
    const StateChart* backendChart = nullptr; // charts/backend.toml
    Duration pollInterval = std::chrono::seconds(1);
    // How often the authority re-appends a checkpoint; well below the time
    // for which the log keeps records.
    Duration checkpointInterval = std::chrono::minutes(10);
    std::uint64_t seed = 1; // of the jitter
  };

  AuthorityStream(const Options& aOptions,
                  Executor& aExecutor,
                  LogClient& aLog);
  AuthorityStream(const AuthorityStream&) = delete;
  AuthorityStream& operator=(const AuthorityStream&) = delete;
  ~AuthorityStream() override;

  // Begins to read; call it once.
  void Start() { mFold.Start(); }

  // The state; of use only while Folding().Ready().
  [[nodiscard]] const AuthorityState& State() const { return mState; }

  // The reading side: Ready(), FreshAt(), observers.
  [[nodiscard]] StreamFold& Folding() { return mFold; }
  [[nodiscard]] const StreamFold& Folding() const { return mFold; }

  // The writing side.
  [[nodiscard]] ConfirmedWriter& Writer() { return mWriter; }

  // When the newest claim or renewal was read here; a challenger waits from
  // then. Without any claim, when that was found.
  [[nodiscard]] Instant LeaseReadAt() const { return mLeaseReadAt; }

  // Appends a checkpoint if the last one is old, or if history was lost.
  // The authority calls it with its renewals, a candidate before it claims.
  void MaintainCheckpoint();

private:
  void OnApplied(const RecordId& aId,
                 LogOffset aOffset,
                 bool aAccepted) override;
  void OnCaughtUp() override;
  void NoticeLease();

  Options mOptions;
  Executor& mExecutor;
  AuthorityState mState;
  StreamFold mFold;
  ConfirmedWriter mWriter;
  std::optional<LogOffset> mLeaseRecord;
  bool mLeaseRead = false;
  Instant mLeaseReadAt{};
  bool mCheckpointing = false;
};

} // namespace firefly::coord
