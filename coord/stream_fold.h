#pragma once

// Folds a stream into a state that is a function of the log alone. The state
// outlives retention through checkpoint records: each tells the state after
// one offset, so it doesn't matter who wrote it, or when.

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "coord/record.h"
#include "coord/stream_reader.h"

namespace firefly::coord {

// A state that records change. The same records give the same state.
class Fold
{
public:
  virtual ~Fold() = default;

  // Back to the state of an empty stream.
  virtual void Reset() = 0;

  // Takes one record in; false if the state's rules reject it. A copy of an
  // earlier record must leave the state as it is.
  virtual bool Apply(LogOffset aOffset, const Envelope& aRecord) = 0;

  // Whether the state needs the records that retention drops. If not, it
  // stands on the kept records alone, and there are no checkpoints.
  [[nodiscard]] virtual bool NeedsHistory() const { return true; }

  // The state for a checkpoint.
  [[nodiscard]] virtual std::string Save() const = 0;

  // Takes over a checkpoint's state; false if it can't be decoded.
  virtual bool Load(std::string_view aState) = 0;
};

// Hears what became of each record.
class FoldObserver
{
public:
  virtual ~FoldObserver() = default;

  // A record was folded; aAccepted tells whether the state's rules took it.
  virtual void OnApplied(const RecordId& aId,
                         LogOffset aOffset,
                         bool aAccepted) = 0;

  // All records up to the end of the stream were folded.
  virtual void OnCaughtUp() {}
};

// Reads the stream and feeds the fold.
class StreamFold : private StreamListener
{
public:
  enum class Status
  {
    kReading, // the state is not known yet
    kReady,   // the state was that of the end of the stream at FreshAt()
    kLost,    // read to the end, but the history's start is gone and no
              // checkpoint stands for it
  };

  StreamFold(StreamReader::Options aOptions,
             Executor& aExecutor,
             LogClient& aLog,
             Fold& aFold);

  // Begins to read; call it once.
  void Start() { mReader.Start(); }

  // Reads again at once.
  void Poke() { mReader.Poke(); }

  // The observer must outlive the fold or be removed.
  void AddObserver(FoldObserver& aObserver);
  void RemoveObserver(FoldObserver& aObserver);

  [[nodiscard]] Status State() const;
  [[nodiscard]] bool Ready() const { return State() == Status::kReady; }
  // See StreamReader.
  [[nodiscard]] std::optional<Instant> FreshAt() const
  {
    return mReader.FreshAt();
  }
  [[nodiscard]] LogOffset Position() const { return mReader.Position(); }
  [[nodiscard]] const StreamReader& Reader() const { return mReader; }

  // When a checkpoint was last seen, or when reading started.
  [[nodiscard]] Instant LastCheckpoint() const { return mLastCheckpoint; }

  // The body of a checkpoint record of the state now. In state kLost it is
  // the fold's present state, taken as that of the stream's end.
  [[nodiscard]] std::string MakeCheckpoint() const;

private:
  void OnRestart(LogOffset aFirst) override;
  void OnRecord(const LogRecord& aRecord) override;
  void OnCaughtUp(LogOffset aEnd) override;
  void OnCheckpoint(const Envelope& aRecord);
  void ApplyOne(LogOffset aOffset, const Envelope& aRecord);

  struct Held
  {
    LogOffset offset{};
    Envelope record;
  };

  Executor& mExecutor;
  Fold& mFold;
  StreamReader mReader;
  std::vector<FoldObserver*> mObservers;
  std::vector<Held> mHeld; // waiting for a checkpoint to stand on
  LogOffset mFirst;
  bool mBased = false; // the fold stands on the start or on a checkpoint
  Instant mLastCheckpoint{};
};

} // namespace firefly::coord
