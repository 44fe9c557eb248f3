#pragma once

// Permits for calls that may not be repeated. A ledger owns partitions of the
// keys, only to share appends: what is safe follows from the order of the
// log, even if two ledgers own one partition.

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>

#include "coord/booking_state.h"
#include "coord/confirmed_writer.h"
#include "core/ids.h"
#include "core/state_chart.h"

namespace firefly::coord {

// One of the partitions of all keys, from zero.
using PartitionId = StrongType<struct PartitionIdTag, std::uint32_t>;

// The partition of a key, the same in every process.
[[nodiscard]] PartitionId
PartitionOf(const BookingKey& aKey, std::uint32_t aPartitions);

// The digest of a request's bytes.
[[nodiscard]] RequestDigest
DigestOf(std::string_view aRequest);

// An entry's wish to run a booking.
struct PermitRequest
{
  BookingKey key{};
  // Made anew by the entry for each try: asked for once, at one ledger, and
  // never used for two calls.
  AttemptId attempt{};
  RequestDigest digest{};
  // A permit is not given after this.
  Instant deadline{};
  // When the caller made the key, if it says so: with a key older than the
  // window the ledger can't tell whether it ran.
  std::optional<WallTime> keyTime{};
};

enum class PermitVerdict
{
  kGranted,   // the attempt, and no other, may run once
  kCompleted, // another attempt ran: its outcome is given
  kOpen,      // another attempt may be running or have run
  kMismatch,  // the key was used for another request
  kExpired,   // the key is older than the window
};

// The answer to a wish. All but kGranted mean that this attempt did not and
// will not run.
struct Permit
{
  PermitVerdict verdict = PermitVerdict::kOpen;
  std::optional<BookingOutcome> outcome{}; // with kCompleted
  LogOffset offset{};                      // of the intent, with kGranted
  AttemptId holder{};                      // the attempt that holds the permit
};

enum class LedgerErrorKind
{
  kUnavailable, // no permit was given: the attempt did not run
  kNotOwned,    // the partition is not open here: the attempt did not run
  kUnknown,     // of a record, not of a permit: it may not stand in the log
};

// Why the ledger could not answer.
struct LedgerError
{
  LedgerErrorKind kind = LedgerErrorKind::kUnavailable;
  std::string message{};
};

// Counters since the start.
struct LedgerCounters
{
  std::uint64_t granted = 0;
  std::uint64_t refused = 0; // completed, open, mismatch, expired
  std::uint64_t failed = 0;  // errors
  std::uint64_t outcomes = 0;
  std::uint64_t abandoned = 0;
};

// Gives permits from the streams of its partitions.
class BookingLedger
{
public:
  using PermitCallback = std::function<void(tl::expected<Permit, LedgerError>)>;
  using RecordCallback = std::function<void(tl::expected<void, LedgerError>)>;

  struct Options
  {
    WriterId writer{};
    const StateChart* chart = nullptr; // charts/booking.toml
    std::uint32_t partitions = 64;     // the same in all processes
    std::string streamPrefix = "booking-";
    // At most one attempt of a key runs within this time after its last
    // intent; shorter than the log's retention.
    Duration window = std::chrono::minutes(10);
    // How long records wait to share an append; the appends a second are at
    // most the partitions divided by this and an append's time.
    Duration linger = std::chrono::milliseconds(80);
    Duration pollInterval = std::chrono::seconds(2);
    // For how long outcomes and abandonings are tried.
    Duration recordTimeout = std::chrono::seconds(60);
    std::size_t maxAnswerBytes = 2048;
    // With this many keys in memory no more permits are given.
    std::size_t maxKeys = 60000;
    std::uint64_t seed = 1; // of the jitter
  };

  BookingLedger(const Options& aOptions, Executor& aExecutor, LogClient& aLog);
  BookingLedger(const BookingLedger&) = delete;
  BookingLedger& operator=(const BookingLedger&) = delete;
  ~BookingLedger();

  // Begins, or ends, to serve a partition. What is under way when it ends is
  // finished first.
  void Open(PartitionId aPartition);
  void Close(PartitionId aPartition);

  // Whether the partition is open and its stream was read to the end.
  [[nodiscard]] bool Ready(PartitionId aPartition) const;

  // Asks for a permit. The callback runs once, at the latest at the deadline;
  // a permit that reaches the entry after the deadline must not be used.
  void RequestPermit(const PermitRequest& aRequest, PermitCallback aCallback);

  // Records the service's answer to the attempt that ran.
  void RecordOutcome(const BookingKey& aKey,
                     const AttemptId& aAttempt,
                     BookingOutcome aOutcome,
                     RecordCallback aCallback);

  // Records that the attempt did not run and never will: only the entry that
  // made the attempt may say so, and it must not use its permit afterwards.
  void Abandon(const BookingKey& aKey,
               const AttemptId& aAttempt,
               RecordCallback aCallback);

  // What is known of a key; nothing if the key is free, an error if the
  // partition isn't ready here.
  [[nodiscard]] tl::expected<std::optional<BookingView>, LedgerError> Show(
    const BookingKey& aKey) const;

  [[nodiscard]] const LedgerCounters& Counters() const { return mCounters; }
  // Appends and records of all partitions, keys and bytes of state.
  [[nodiscard]] std::uint64_t Appends() const;
  [[nodiscard]] std::size_t Keys() const;
  [[nodiscard]] std::size_t Bytes() const;

private:
  struct Partition;
  struct Wish;
  using WishPtr = std::shared_ptr<Wish>;

  Partition* Find(const BookingKey& aKey) const;
  void Refuse(const WishPtr& aWish, LedgerErrorKind aKind, const char* aWhy);
  void Answer(const WishPtr& aWish, Permit aPermit);
  std::optional<Permit> Taken(const Partition& aPartition,
                              const PermitRequest& aRequest) const;
  void SendIntent(Partition& aPartition, const WishPtr& aWish);
  void OnIntent(Partition& aPartition,
                const WishPtr& aWish,
                const tl::expected<Confirmation, WriteError>& aResult);
  void AbandonQuietly(Partition& aPartition, const PermitRequest& aRequest);
  void Write(const BookingKey& aKey,
             RecordKind aKind,
             std::string aBody,
             RecordCallback aCallback);
  void Release(Partition& aPartition);
  void ExpireSoon();

  Options mOptions;
  Executor& mExecutor;
  LogClient& mLog;
  std::map<PartitionId, std::unique_ptr<Partition>> mPartitions;
  std::uint64_t mOpened = 0;
  std::uint64_t mClosedAppends = 0;
  LedgerCounters mCounters;
  Timer mExpiry;
  CallbackGuard mGuard;
};

} // namespace firefly::coord
