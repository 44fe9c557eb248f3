#include "coord/booking_ledger.h"

#include <algorithm>
#include <utility>

#include <xxhash.h>

namespace firefly::coord {

namespace {

constexpr Duration kExpiryInterval = std::chrono::seconds(5);

LedgerError
Translate(const WriteError& aError)
{
  const bool unknown = aError.kind == WriteErrorKind::kUnknown;
  return { .kind = unknown ? LedgerErrorKind::kUnknown
                           : LedgerErrorKind::kUnavailable,
           .message = aError.message };
}

} // namespace

PartitionId
PartitionOf(const BookingKey& aKey, std::uint32_t aPartitions)
{
  const auto& key = aKey.Value();
  const auto hash = XXH3_64bits(key.data(), key.size());
  return PartitionId(static_cast<std::uint32_t>(hash % aPartitions));
}

RequestDigest
DigestOf(std::string_view aRequest)
{
  return RequestDigest(XXH3_64bits(aRequest.data(), aRequest.size()));
}

// One open partition.
struct BookingLedger::Partition
{
  Partition(PartitionId aId,
            const Options& aOptions,
            const WriterId& aWriter,
            Executor& aExecutor,
            LogClient& aLog)
    : id(aId)
    , state({ .window = aOptions.window }, aExecutor)
    , fold({ .stream = Stream(aOptions, aId),
             .pollInterval = aOptions.pollInterval,
             .seed = aOptions.seed + aId.Value() },
           aExecutor,
           aLog,
           state)
    , writer({ .stream = Stream(aOptions, aId),
               .writer = aWriter,
               .linger = aOptions.linger,
               .seed = aOptions.seed + aId.Value() },
             aExecutor,
             aLog,
             fold)
  {
  }

  static StreamName Stream(const Options& aOptions, PartitionId aId)
  {
    return StreamName(aOptions.streamPrefix + std::to_string(aId.Value()));
  }

  PartitionId id;
  BookingState state;
  StreamFold fold;
  ConfirmedWriter writer;
  bool closing = false;
  std::size_t pending = 0; // records that were not read back yet
};

// A permit request that has not been answered.
struct BookingLedger::PendingPermit
{
  PermitRequest request;
  PermitCallback callback;
  StateMachine machine;
};

BookingLedger::BookingLedger(const Options& aOptions,
                             Executor& aExecutor,
                             LogClient& aLog)
  : mOptions(aOptions)
  , mExecutor(aExecutor)
  , mLog(aLog)
{
  ScheduleExpiry();
}

BookingLedger::~BookingLedger() = default;

void
BookingLedger::Open(PartitionId aPartition)
{
  auto& partition = mPartitions[aPartition];
  if (partition) {
    partition->closing = false;
    return;
  }
  // A partition that is opened again uses a new writer id, because its sequence
  // numbers restart.
  const WriterId writer(mOptions.writer.Value() + "/" +
                        std::to_string(++mPartitionsOpened));
  partition =
    std::make_unique<Partition>(aPartition, mOptions, writer, mExecutor, mLog);
  partition->fold.Start();
}

void
BookingLedger::Close(PartitionId aPartition)
{
  const auto it = mPartitions.find(aPartition);
  if (it == mPartitions.end()) {
    return;
  }
  it->second->closing = true;
  RemoveIfClosed(*it->second);
}

// Removes a closing partition once no records are pending. The removal is
// posted to the executor, since this may run in a callback of the partition's
// writer.
void
BookingLedger::RemoveIfClosed(Partition& aPartition)
{
  if (!aPartition.closing || aPartition.pending > 0) {
    return;
  }
  mExecutor.Post(mGuard.Wrap([this, id = aPartition.id] {
    const auto it = mPartitions.find(id);
    if (it == mPartitions.end() || !it->second->closing ||
        it->second->pending > 0) {
      return;
    }
    mClosedAppends += it->second->writer.Writer().Appends();
    mPartitions.erase(it);
  }));
}

bool
BookingLedger::Ready(PartitionId aPartition) const
{
  const auto it = mPartitions.find(aPartition);
  return it != mPartitions.end() && !it->second->closing &&
         it->second->fold.Ready();
}

BookingLedger::Partition*
BookingLedger::Find(const BookingKey& aKey) const
{
  const auto it = mPartitions.find(PartitionOf(aKey, mOptions.partitions));
  return it == mPartitions.end() ? nullptr : it->second.get();
}

void
BookingLedger::RequestPermit(const PermitRequest& aRequest,
                             PermitCallback aCallback)
{
  const auto pendingPermit = std::make_shared<PendingPermit>(
    PendingPermit{ .request = aRequest,
                   .callback = std::move(aCallback),
                   .machine = StateMachine(*mOptions.chart) });
  auto* partition = Find(aRequest.key);
  if (partition == nullptr || partition->closing) {
    Fail(pendingPermit,
         LedgerErrorKind::kNotOwned,
         "the partition is not open here");
    return;
  }
  if (!partition->fold.Ready()) {
    Fail(
      pendingPermit, LedgerErrorKind::kUnavailable, "the stream is being read");
    return;
  }
  if (aRequest.keyTime &&
      *aRequest.keyTime < mExecutor.WallNow() - mOptions.window) {
    Answer(pendingPermit, { .verdict = PermitVerdict::kExpired });
    return;
  }
  if (const auto held = FindHolder(*partition, aRequest)) {
    Answer(pendingPermit, *held);
    return;
  }
  if (Keys() >= mOptions.maxKeys) {
    Fail(pendingPermit,
         LedgerErrorKind::kUnavailable,
         "the maximum number of keys is in memory");
    return;
  }
  SendIntent(*partition, pendingPermit);
}

void
BookingLedger::Fail(const PendingPermitPtr& aPending,
                    LedgerErrorKind aKind,
                    const char* aMessage)
{
  ++mCounters.failed;
  const bool sent = aPending->machine.Is("intended");
  aPending->machine.Fire(sent ? "abandon" : "refuse");
  mExecutor.Post(mGuard.Wrap([aPending, aKind, aMessage] {
    aPending->callback(
      tl::unexpected(LedgerError{ .kind = aKind, .message = aMessage }));
  }));
}

void
BookingLedger::Answer(const PendingPermitPtr& aPending, Permit aPermit)
{
  const bool granted = aPermit.verdict == PermitVerdict::kGranted;
  ++(granted ? mCounters.granted : mCounters.refused);
  aPending->machine.Fire(granted ? "permit" : "refuse");
  mExecutor.Post(mGuard.Wrap(
    [aPending, permit = std::move(aPermit)] { aPending->callback(permit); }));
}

// The answer if an attempt holds the key's permit, as far as the stream has
// been read.
std::optional<Permit>
BookingLedger::FindHolder(const Partition& aPartition,
                          const PermitRequest& aRequest) const
{
  const auto view = aPartition.state.Find(aRequest.key);
  if (!view) {
    return std::nullopt;
  }
  Permit permit{ .verdict = PermitVerdict::kOpen,
                 .outcome = {},
                 .offset = view->offset,
                 .holder = view->attempt };
  const bool known = view->digest != RequestDigest{};
  if (known && view->digest != aRequest.digest) {
    permit.verdict = PermitVerdict::kMismatch;
  } else if (view->outcome) {
    permit.verdict = PermitVerdict::kCompleted;
    permit.outcome = view->outcome;
  }
  return permit;
}

void
BookingLedger::SendIntent(Partition& aPartition,
                          const PendingPermitPtr& aPending)
{
  const auto& request = aPending->request;
  aPending->machine.Fire("intend");
  ++aPartition.pending;
  aPartition.writer.Append(
    RecordKind::kBookingIntent,
    BookingState::IntentBody(
      request.key, request.attempt, request.digest, mExecutor.WallNow()),
    request.deadline,
    [this, &aPartition, aPending](
      const tl::expected<Confirmation, WriteError>& aResult) {
      OnIntent(aPartition, aPending, aResult);
      --aPartition.pending;
      RemoveIfClosed(aPartition);
    });
}

// Grants a permit only if the intent was read back before the deadline and no
// other attempt holds the key's permit. Otherwise the attempt never runs, and
// an abandonment is recorded if its intent is or may be in the log.
void
BookingLedger::OnIntent(Partition& aPartition,
                        const PendingPermitPtr& aPending,
                        const tl::expected<Confirmation, WriteError>& aResult)
{
  if (!aResult) {
    if (aResult.error().kind == WriteErrorKind::kUnknown) {
      AppendAbandonment(aPartition, aPending->request);
    }
    Fail(aPending,
         LedgerErrorKind::kUnavailable,
         "the log did not confirm the intent");
    return;
  }
  const bool late = mExecutor.Now() >= aPending->request.deadline;
  if (aResult->accepted && !late) {
    Answer(aPending,
           { .verdict = PermitVerdict::kGranted,
             .outcome = {},
             .offset = aResult->offset,
             .holder = aPending->request.attempt });
    return;
  }
  AppendAbandonment(aPartition, aPending->request);
  const auto held = FindHolder(aPartition, aPending->request);
  if (late || !held) {
    Fail(aPending, LedgerErrorKind::kUnavailable, "the deadline passed");
    return;
  }
  Answer(aPending, *held);
}

void
BookingLedger::AppendAbandonment(Partition& aPartition,
                                 const PermitRequest& aRequest)
{
  ++mCounters.abandoned;
  ++aPartition.pending;
  aPartition.writer.Append(
    RecordKind::kBookingAbandon,
    BookingState::AbandonBody(aRequest.key, aRequest.attempt),
    mExecutor.Now() + mOptions.recordTimeout,
    [this, &aPartition](const tl::expected<Confirmation, WriteError>&) {
      --aPartition.pending;
      RemoveIfClosed(aPartition);
    });
}

void
BookingLedger::RecordOutcome(const BookingKey& aKey,
                             const AttemptId& aAttempt,
                             BookingOutcome aOutcome,
                             RecordCallback aCallback)
{
  ++mCounters.outcomes;
  if (aOutcome.answer.size() > mOptions.maxAnswerBytes) {
    aOutcome.answer.resize(mOptions.maxAnswerBytes);
    aOutcome.truncated = true;
  }
  AppendRecord(aKey,
               RecordKind::kBookingOutcome,
               BookingState::OutcomeBody(aKey, aAttempt, aOutcome),
               std::move(aCallback));
}

void
BookingLedger::Abandon(const BookingKey& aKey,
                       const AttemptId& aAttempt,
                       RecordCallback aCallback)
{
  ++mCounters.abandoned;
  AppendRecord(aKey,
               RecordKind::kBookingAbandon,
               BookingState::AbandonBody(aKey, aAttempt),
               std::move(aCallback));
}

void
BookingLedger::AppendRecord(const BookingKey& aKey,
                            RecordKind aKind,
                            std::string aBody,
                            RecordCallback aCallback)
{
  auto* partition = Find(aKey);
  if (partition == nullptr || partition->closing) {
    mExecutor.Post(mGuard.Wrap([callback = std::move(aCallback)] {
      callback(tl::unexpected(
        LedgerError{ .kind = LedgerErrorKind::kNotOwned,
                     .message = "the partition is not open here" }));
    }));
    return;
  }
  ++partition->pending;
  partition->writer.Append(
    aKind,
    std::move(aBody),
    mExecutor.Now() + mOptions.recordTimeout,
    [this, partition, callback = std::move(aCallback)](
      const tl::expected<Confirmation, WriteError>& aResult) {
      // A record that the state rejects, such as a second outcome, counts as
      // recorded too.
      if (aResult) {
        callback({});
      } else {
        callback(tl::unexpected(Translate(aResult.error())));
      }
      --partition->pending;
      RemoveIfClosed(*partition);
    });
}

tl::expected<std::optional<BookingView>, LedgerError>
BookingLedger::Show(const BookingKey& aKey) const
{
  const auto* partition = Find(aKey);
  if (partition == nullptr) {
    return tl::unexpected(
      LedgerError{ .kind = LedgerErrorKind::kNotOwned,
                   .message = "the partition is not open here" });
  }
  if (!partition->fold.Ready()) {
    return tl::unexpected(LedgerError{ .kind = LedgerErrorKind::kUnavailable,
                                       .message = "the stream is being read" });
  }
  return partition->state.Find(aKey);
}

std::uint64_t
BookingLedger::Appends() const
{
  auto appends = mClosedAppends;
  for (const auto& [id, partition] : mPartitions) {
    appends += partition->writer.Writer().Appends();
  }
  return appends;
}

std::size_t
BookingLedger::Keys() const
{
  std::size_t keys = 0;
  for (const auto& [id, partition] : mPartitions) {
    keys += partition->state.Keys();
  }
  return keys;
}

std::size_t
BookingLedger::Bytes() const
{
  std::size_t bytes = 0;
  for (const auto& [id, partition] : mPartitions) {
    bytes += partition->state.Bytes();
  }
  return bytes;
}

void
BookingLedger::ScheduleExpiry()
{
  mExpiryTimer = mExecutor.RunAfter(kExpiryInterval, [this] {
    for (const auto& [id, partition] : mPartitions) {
      partition->state.Expire();
    }
    ScheduleExpiry();
  });
}

} // namespace firefly::coord
