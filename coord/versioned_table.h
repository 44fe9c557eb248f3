#pragma once

// The operators' table: one payload with a version. An edit names the version
// that it changes; the order of the log decides between concurrent edits. Peers
// also exchange the newest version, so that a process without access to the log
// receives it.

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

// Computes the digest of a snapshot's other fields.
[[nodiscard]] std::uint64_t
SnapshotDigest(const Snapshot& aSnapshot);

// Encodes a snapshot for a peer or a checkpoint, and decodes it. The result of
// decoding is empty if the bytes are not a snapshot.
[[nodiscard]] std::string
EncodeSnapshot(const Snapshot& aSnapshot);
[[nodiscard]] std::optional<Snapshot>
DecodeSnapshot(std::string_view aBytes);

enum class TableErrorKind
{
  kConflict,    // the base is not the newest version; nothing changed
  kUnavailable, // the log cannot be reached or is not read yet; nothing changed
  kUnknown,     // not read back in time; the edit may still take effect
  kTooLarge,    // the payload exceeds maxPayloadBytes; nothing changed
};

// Why an edit was not accepted.
struct TableError
{
  TableErrorKind kind = TableErrorKind::kUnknown;
  std::string message{};
  TableVersion current{}; // the newest version known to this process
};

// Receives each newer version.
class TableObserver
{
public:
  virtual ~TableObserver() = default;
  virtual void OnVersion(const Snapshot& aSnapshot) = 0;
};

// Folds the records of the table's stream.
class TableState : public Fold
{
public:
  void Reset() override;
  bool Apply(LogOffset aOffset, const Envelope& aRecord) override;
  [[nodiscard]] std::string Save() const override;
  bool Load(std::string_view aState) override;

  [[nodiscard]] const Snapshot& Newest() const { return mNewest; }
  // Sets the state to a snapshot after the history was lost.
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
    // How long to wait for an edit to be read back.
    Duration applyTimeout = std::chrono::seconds(8);
    // The age of the newest checkpoint at which this process appends a new one.
    // A jitter is added so that usually only one of many processes does so.
    // Zero disables checkpoints.
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

  // Starts reading; must be called exactly once.
  void Start();

  // The newest version received from the log or a peer; empty until the first
  // one was received. The version never decreases.
  [[nodiscard]] const std::optional<Snapshot>& Current() const
  {
    return mCurrent;
  }

  // Whether a version is known, from the log or from a peer, so that the table
  // may be served.
  [[nodiscard]] bool Ready() const { return mCurrent.has_value(); }

  // All records that were in the log at this time have been read; empty until
  // the end of the log was reached since reading last started or restarted.
  [[nodiscard]] std::optional<Instant> FreshAt() const
  {
    return mFold.FreshAt();
  }

  // Takes over a peer's snapshot if it is newer and its digest is correct;
  // returns whether it did.
  bool Offer(const Snapshot& aSnapshot);

  // Reads the log at once, for example when a peer reports a newer version.
  void ReadNow() { mFold.ReadNow(); }

  // Replaces the table's payload if aBase is still its newest version.
  void Apply(TableVersion aBase,
             const std::string& aPayload,
             ApplyCallback aCallback);

  // The number of offered snapshots whose digest was wrong.
  [[nodiscard]] std::uint64_t RejectedOffers() const { return mRejectedOffers; }

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
  std::uint64_t mRejectedOffers = 0;
  Duration mCheckpointAge{};
  bool mIsCheckpointing = false;
  Timer mTimer;
  CallbackGuard mGuard;
};

} // namespace firefly::coord
