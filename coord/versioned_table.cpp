#include "coord/versioned_table.h"

#include <utility>

#include <xxhash.h>

#include "coord/codec.h"

namespace firefly::coord {

namespace {

constexpr Duration kCheckpointTimeout = std::chrono::seconds(10);
constexpr Duration kMaintenanceInterval = std::chrono::seconds(5);

} // namespace

std::uint64_t
SnapshotDigest(const Snapshot& aSnapshot)
{
  const auto bytes = FieldWriter()
                       .Number(aSnapshot.version.Value())
                       .Number(aSnapshot.offset.Value())
                       .Text(aSnapshot.payload)
                       .Take();
  return XXH3_64bits(bytes.data(), bytes.size());
}

std::string
EncodeSnapshot(const Snapshot& aSnapshot)
{
  return FieldWriter()
    .Number(aSnapshot.version.Value())
    .Number(aSnapshot.offset.Value())
    .Text(aSnapshot.payload)
    .Number(aSnapshot.digest)
    .Take();
}

std::optional<Snapshot>
DecodeSnapshot(std::string_view aBytes)
{
  FieldReader reader(aBytes);
  Snapshot snapshot;
  snapshot.version = TableVersion(reader.Number());
  snapshot.offset = LogOffset(reader.Number());
  snapshot.payload = reader.Text();
  snapshot.digest = reader.Number();
  if (!reader.Ok()) {
    return std::nullopt;
  }
  return snapshot;
}

void
TableState::Reset()
{
  mNewest = Snapshot{};
  mNewest.digest = SnapshotDigest(mNewest);
}

bool
TableState::Apply(LogOffset aOffset, const Envelope& aRecord)
{
  if (aRecord.kind != RecordKind::kTableEdit) {
    return false;
  }
  FieldReader reader(aRecord.body);
  const TableVersion base(reader.Number());
  auto payload = reader.Text();
  if (!reader.Ok() || base != mNewest.version) {
    return false;
  }
  mNewest = { .version = TableVersion(base.Value() + 1),
              .payload = std::move(payload),
              .offset = aOffset,
              .digest = 0 };
  mNewest.digest = SnapshotDigest(mNewest);
  return true;
}

std::string
TableState::Save() const
{
  return EncodeSnapshot(mNewest);
}

bool
TableState::Load(std::string_view aState)
{
  const auto snapshot = DecodeSnapshot(aState);
  if (!snapshot || snapshot->digest != SnapshotDigest(*snapshot)) {
    return false;
  }
  mNewest = *snapshot;
  return true;
}

VersionedTable::VersionedTable(const Options& aOptions,
                               Executor& aExecutor,
                               LogClient& aLog,
                               TableObserver* aObserver)
  : mOptions(aOptions)
  , mExecutor(aExecutor)
  , mObserver(aObserver)
  , mFold({ .stream = aOptions.stream,
            .pollInterval = aOptions.pollInterval,
            .seed = aOptions.seed },
          aExecutor,
          aLog,
          mState)
  , mWriter({ .stream = aOptions.stream,
              .writer = aOptions.writer,
              .seed = aOptions.seed },
            aExecutor,
            aLog,
            mFold)
  , mRandom(aOptions.seed)
{
  mFold.AddObserver(*this);
}

VersionedTable::~VersionedTable()
{
  mFold.RemoveObserver(*this);
}

void
VersionedTable::Start()
{
  mFold.Start();
  DrawCheckpointAge();
  MaintainCheckpoint();
}

void
VersionedTable::OnApplied(const RecordId&, LogOffset, bool aAccepted)
{
  if (aAccepted) {
    Adopt(mState.Newest());
  }
}

void
VersionedTable::OnCaughtUp()
{
  if (mFold.Ready()) {
    Adopt(mState.Newest());
    return;
  }
  // The log's history was lost: continue from the newest version known here.
  if (mCurrent) {
    mState.Restore(*mCurrent);
  }
}

bool
VersionedTable::Offer(const Snapshot& aSnapshot)
{
  if (aSnapshot.digest != SnapshotDigest(aSnapshot)) {
    ++mRejectedOffers;
    return false;
  }
  return Adopt(aSnapshot);
}

// Takes over a snapshot only if it is newer, so that the version never
// decreases.
bool
VersionedTable::Adopt(const Snapshot& aSnapshot)
{
  if (mCurrent && aSnapshot.version <= mCurrent->version) {
    return false;
  }
  mCurrent = aSnapshot;
  if (mObserver != nullptr) {
    mObserver->OnVersion(*mCurrent);
  }
  return true;
}

void
VersionedTable::Apply(TableVersion aBase,
                      const std::string& aPayload,
                      ApplyCallback aCallback)
{
  const auto fail = [&](TableErrorKind aKind, const char* aWhy) {
    mExecutor.Post(mGuard.Wrap(
      [error = Failure(aKind, aWhy), callback = std::move(aCallback)] {
        callback(tl::unexpected(error));
      }));
  };
  if (aPayload.size() > mOptions.maxPayloadBytes) {
    fail(TableErrorKind::kTooLarge, "the table is too large");
    return;
  }
  if (!mFold.Ready()) {
    fail(TableErrorKind::kUnavailable, "the log has not been read yet");
    return;
  }
  if (aBase < mState.Newest().version) {
    fail(TableErrorKind::kConflict, "the edit's base is an older version");
    return;
  }
  mWriter.Append(
    RecordKind::kTableEdit,
    FieldWriter().Number(aBase.Value()).Text(aPayload).Take(),
    mExecutor.Now() + mOptions.applyTimeout,
    mGuard.Wrap([this, callback = std::move(aCallback)](
                  const tl::expected<Confirmation, WriteError>& aResult) {
      OnEdit(aResult, callback);
    }));
}

void
VersionedTable::OnEdit(const tl::expected<Confirmation, WriteError>& aResult,
                       const ApplyCallback& aCallback)
{
  if (!aResult) {
    const bool unknown = aResult.error().kind == WriteErrorKind::kUnknown;
    const auto kind =
      unknown ? TableErrorKind::kUnknown : TableErrorKind::kUnavailable;
    aCallback(tl::unexpected(Failure(kind, aResult.error().message)));
    return;
  }
  if (!aResult->accepted) {
    aCallback(tl::unexpected(
      Failure(TableErrorKind::kConflict, "another edit came first")));
    return;
  }
  Adopt(mState.Newest());
  aCallback(mState.Newest().version);
}

TableError
VersionedTable::Failure(TableErrorKind aKind, std::string aMessage) const
{
  return { .kind = aKind,
           .message = std::move(aMessage),
           .current = mCurrent ? mCurrent->version : TableVersion(0) };
}

void
VersionedTable::MaintainCheckpoint()
{
  mTimer =
    mExecutor.RunAfter(kMaintenanceInterval, [this] { MaintainCheckpoint(); });
  if (mOptions.checkpointInterval == Duration::zero() || mIsCheckpointing) {
    return;
  }
  const bool lost = mFold.State() == StreamFold::Status::kLost;
  const bool old =
    mFold.Ready() && mExecutor.Now() - mFold.LastCheckpoint() >= mCheckpointAge;
  if (!lost && !old) {
    return;
  }
  mIsCheckpointing = true;
  DrawCheckpointAge();
  mWriter.Append(RecordKind::kCheckpoint,
                 mFold.MakeCheckpoint(),
                 mExecutor.Now() + kCheckpointTimeout,
                 [this](const tl::expected<Confirmation, WriteError>&) {
                   mIsCheckpointing = false;
                 });
}

// Draws an age between 1 and 1.5 times the interval, so that usually one
// process appends the checkpoint before the others would.
void
VersionedTable::DrawCheckpointAge()
{
  const auto interval = ToSeconds(mOptions.checkpointInterval);
  mCheckpointAge = FromSeconds(interval * (1.0 + 0.5 * mRandom.Uniform()));
}

} // namespace firefly::coord
