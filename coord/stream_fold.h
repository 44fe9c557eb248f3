#pragma once

// Folds a stream into a state that depends only on the log. Checkpoint records
// preserve the state beyond the log's retention time. Each holds the state at
// one offset, so it does not matter which process wrote it, or when.

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "coord/record.h"
#include "coord/stream_reader.h"

namespace firefly::coord {

// A record that was read before the state that it applies to was known.
struct UndecidedRecord
{
  LogOffset offset{};
  Envelope record;
};

// A state that records change. The same records always yield the same state.
class Fold
{
public:
  virtual ~Fold() = default;

  // Resets to the state of an empty stream.
  virtual void Reset() = 0;

  // Applies one record; returns false if the state's rules reject it. A
  // duplicate of an earlier record must not change the state.
  virtual bool Apply(LogOffset aOffset, const Envelope& aRecord) = 0;

  // Whether the state depends on records that retention has removed. If not, it
  // is folded from the kept records alone, without checkpoints.
  [[nodiscard]] virtual bool NeedsHistory() const { return true; }

  // Whether the record settles the state of a stream whose earlier records were
  // removed, so that the fold may begin with it on an empty state. aEarlier
  // holds the records between aFirst and this one.
  [[nodiscard]] virtual bool BeginsWith(
    const Envelope& /*aRecord*/,
    LogOffset /*aFirst*/,
    const std::vector<UndecidedRecord>& /*aEarlier*/) const
  {
    return false;
  }

  // Encodes the state for a checkpoint.
  [[nodiscard]] virtual std::string Save() const = 0;

  // Replaces the state by that of a checkpoint; returns false if it cannot be
  // decoded.
  virtual bool Load(std::string_view aState) = 0;
};

// Receives the result of each record.
class FoldObserver
{
public:
  virtual ~FoldObserver() = default;

  // A record was processed; aAccepted tells whether the state's rules accepted
  // it. A checkpoint counts as accepted. Not called for records that precede
  // the state of the checkpoint from which the fold began.
  virtual void OnApplied(const RecordId& aId,
                         LogOffset aOffset,
                         bool aAccepted) = 0;

  // A record was read that cannot be processed: the start of the history was
  // removed, and no checkpoint has been read.
  virtual void OnUndecided(LogOffset /*aOffset*/, const Envelope& /*aRecord*/)
  {
  }

  // All records up to the end of the stream were folded.
  virtual void OnCaughtUp() {}
};

// Reads a stream and applies its records to a fold.
class StreamFold : private StreamListener
{
public:
  enum class Status
  {
    kReading, // the end of the stream has not been reached yet
    kReady,   // the state includes all records in the log at FreshAt()
    kLost,    // the end was reached, but the start of the history was removed
              // and no checkpoint replaces it
  };

  StreamFold(StreamReader::Options aOptions,
             Executor& aExecutor,
             LogClient& aLog,
             Fold& aFold);

  // Starts reading; must be called exactly once.
  void Start() { mReader.Start(); }

  // Reads at once instead of at the next poll.
  void ReadNow() { mReader.ReadNow(); }

  // The observer must outlive the fold or be removed.
  void AddObserver(FoldObserver& aObserver);
  void RemoveObserver(FoldObserver& aObserver);

  [[nodiscard]] Status State() const;
  [[nodiscard]] bool Ready() const { return State() == Status::kReady; }
  // See StreamReader::FreshAt() and StreamReader::Position().
  [[nodiscard]] std::optional<Instant> FreshAt() const
  {
    return mReader.FreshAt();
  }
  [[nodiscard]] LogOffset Position() const { return mReader.Position(); }
  // The oldest record that was kept when reading last started.
  [[nodiscard]] LogOffset First() const { return mFirst; }
  [[nodiscard]] const StreamReader& Reader() const { return mReader; }

  // When a checkpoint was last read, or when reading started.
  [[nodiscard]] Instant LastCheckpoint() const { return mLastCheckpoint; }

  // Encodes the present state as the body of a checkpoint record. With the
  // status kLost, the fold's present state is taken as the state at the end of
  // the stream.
  [[nodiscard]] std::string MakeCheckpoint() const;

  // With the status kLost: encodes the state from before the history was
  // removed, as that at the oldest kept record. Only right for a process whose
  // records alone change the state. Empty if there was no state before.
  [[nodiscard]] std::optional<std::string> MakeCheckpointFromBefore() const;

private:
  void OnRestart(LogOffset aFirst) override;
  void OnRecord(const LogRecord& aRecord) override;
  void OnCaughtUp(LogOffset aEnd) override;
  void OnCheckpoint(const Envelope& aRecord);
  void ApplyOne(LogOffset aOffset, const Envelope& aRecord);

  Executor& mExecutor;
  Fold& mFold;
  StreamReader mReader;
  std::vector<FoldObserver*> mObservers;
  // Records to apply once a checkpoint was read.
  std::vector<UndecidedRecord> mBufferedRecords;
  // The state before the history was removed.
  std::optional<std::string> mStateBefore;
  LogOffset mFirst;
  bool mHasBase = false; // the fold began at the stream's start or a checkpoint
  Instant mLastCheckpoint{};
};

} // namespace firefly::coord
