#pragma once

// The operators' table: one payload with a version. Edits name the version
// that they change; log order decides between racing ones. The newest version
// also spreads between peers, so that one cut off from the log gets it.

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <string_view>

#include "coord/confirmed_writer.h"
#include "core/ids.h"

namespace firefly::coord {

// One version of the table.
struct Snapshot
{
  TableVersion version{}; // zero: no edit was accepted yet
  std::string payload{};
  LogOffset offset{}; // of the edit
  std::uint64_t digest = 0;

  bool operator==(const Snapshot&) const = default;
};

// The digest that a snapshot with these contents must have.
[[nodiscard]] std::uint64_t
SnapshotDigest(const Snapshot& aSnapshot);

// The snapshot for a peer, and back; nothing if it can't be decoded.
[[nodiscard]] std::string
EncodeSnapshot(const Snapshot& aSnapshot);
[[nodiscard]] std::optional<Snapshot>
DecodeSnapshot(std::string_view aBytes);

enum class TableErrorKind
{
  kConflict,    // another edit came first; nothing changed
  kUnavailable, // the log can't be reached: nothing changed
  kUnknown,     // not settled in time: the edit may come into effect
  kTooLarge,    // nothing changed
};

// Why an edit was not accepted.
struct TableError
{
  TableErrorKind kind = TableErrorKind::kUnknown;
  std::string message{};
  TableVersion current{}; // the version known here
};

// Hears of each newer version.
class TableObserver
{
public:
  virtual ~TableObserver() = default;
  virtual void OnVersion(const Snapshot& aSnapshot) = 0;
};

// The fold of the stream.
class TableState : public Fold
{
public:
  void Reset() override;
  bool Apply(LogOffset aOffset, const Envelope& aRecord) override;
  [[nodiscard]] std::string Save() const override;
  bool Load(std::string_view aState) override;

  [[nodiscard]] const Snapshot& Newest() const { return mNewest; }
  // Takes a snapshot as the state when all history was lost.
  void Restore(const Snapshot& aSnapshot) { mNewest = aSnapshot; }

private:
  Snapshot mNewest;
};

// One process's copy of the table.
class VersionedTable : private FoldObserver
{
public:
  using ApplyCallback =
    std::function<void(tl::expected<TableVersion, TableError>)>;

  struct Options
  {
    StreamName stream{ "table" };
    WriterId writer{};
    Duration pollInterval = std::chrono::seconds(2);
    // For how long an edit may wait to be read back.
    Duration applyTimeout = std::chrono::seconds(8);
    // How old the newest checkpoint may grow before this process re-appends
    // it; jittered, so that one of many does. Zero: never.
    Duration checkpointInterval = std::chrono::minutes(10);
    std::size_t maxPayloadBytes = 1048576;
    std::uint64_t seed = 1; // of the jitter
  };

  // The observer may be null; else it must outlive the table.
  VersionedTable(const Options& aOptions,
                 Executor& aExecutor,
                 LogClient& aLog,
                 TableObserver* aObserver);
  VersionedTable(const VersionedTable&) = delete;
  VersionedTable& operator=(const VersionedTable&) = delete;
  ~VersionedTable() override;

  // Begins to read; call it once.
  void Start();

  // The newest version known, from the log or a peer; nothing before one of
  // them told. The version never falls.
  [[nodiscard]] const std::optional<Snapshot>& Current() const
  {
    return mCurrent;
  }

  // Whether the table may be served: the log was read to its end once, or a
  // peer gave its table while the log could not be read.
  [[nodiscard]] bool Ready() const { return mCurrent.has_value(); }

  // All that the log held at that instant is known here; nothing before the
  // end was reached once.
  [[nodiscard]] std::optional<Instant> FreshAt() const
  {
    return mFold.FreshAt();
  }

  // A peer's snapshot; true if it is newer and its digest is right.
  bool Offer(const Snapshot& aSnapshot);

  // Reads the log at once, such as when a peer's digest names a newer version.
  void Poke() { mFold.Poke(); }

  // Edits the table: the payload replaces the version that it names.
  void Apply(TableVersion aBase,
             const std::string& aPayload,
             ApplyCallback aCallback);

  // Offers whose digest was wrong.
  [[nodiscard]] std::uint64_t RefusedOffers() const { return mRefusedOffers; }

private:
  void OnApplied(const RecordId& aId,
                 LogOffset aOffset,
                 bool aAccepted) override;
  void OnCaughtUp() override;
  bool Adopt(const Snapshot& aSnapshot);
  void OnEdit(const tl::expected<Confirmation, WriteError>& aResult,
              const ApplyCallback& aCallback);
  void MaintainCheckpoint();
  void DrawCheckpointAge();
  TableError Failure(TableErrorKind aKind, std::string aMessage) const;

  Options mOptions;
  Executor& mExecutor;
  TableObserver* mObserver;
  TableState mState;
  StreamFold mFold;
  ConfirmedWriter mWriter;
  Random mRandom;
  std::optional<Snapshot> mCurrent;
  std::uint64_t mRefusedOffers = 0;
  Duration mCheckpointAge{};
  bool mCheckpointing = false;
  Timer mTimer;
  CallbackGuard mGuard;
};

} // namespace firefly::coord
