#include "coord/authority_stream.h"

#include <utility>

namespace firefly::coord {

namespace {

constexpr Duration kCheckpointTimeout = std::chrono::seconds(10);

} // namespace

AuthorityStream::AuthorityStream(const Options& aOptions,
                                 Executor& aExecutor,
                                 LogClient& aLog)
  : mOptions(aOptions)
  , mExecutor(aExecutor)
  , mState(*aOptions.backendChart)
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
{
  mFold.AddObserver(*this);
}

AuthorityStream::~AuthorityStream()
{
  mFold.RemoveObserver(*this);
}

void
AuthorityStream::OnApplied(const RecordId&, LogOffset, bool)
{
  UpdateLeaseReadAt();
}

void
AuthorityStream::OnUndecided(LogOffset aOffset, const Envelope& aRecord)
{
  if (AuthorityState::ConcernsLease(aRecord.kind)) {
    mLeaseReadAt = mExecutor.Now();
    mSilentFrom = LogOffset(aOffset.Value() + 1);
  }
}

void
AuthorityStream::OnCaughtUp()
{
  NoteRestart();
  UpdateLeaseReadAt();
}

void
AuthorityStream::NoteRestart()
{
  const auto restarts = mFold.Reader().Restarts();
  if (std::exchange(mRestarts, restarts) == restarts) {
    return;
  }
  mMayHideLease =
    PositionOf(mFold.First()) > 0 && mOptions.formerEnd != mFold.Position();
  mLeaseReadAt = mExecutor.Now();
  mSilentFrom = mFold.Position();
}

void
AuthorityStream::UpdateLeaseReadAt()
{
  const auto& lease = mState.Lease();
  const auto newest = lease ? std::optional(lease->renewed) : std::nullopt;
  if (newest == mLeaseRecord && mHasReadLease) {
    return;
  }
  mHasReadLease = true;
  mLeaseRecord = newest;
  mLeaseReadAt = mExecutor.Now();
}

void
AuthorityStream::MaintainCheckpoint()
{
  const bool isLost = mFold.State() == StreamFold::Status::kLost;
  const bool isOld =
    mExecutor.Now() - mFold.LastCheckpoint() >= mOptions.checkpointInterval;
  if (mIsCheckpointing || !(isLost || (mFold.Ready() && isOld))) {
    return;
  }
  auto checkpoint = isLost ? mFold.MakeCheckpointFromBefore()
                           : std::optional(mFold.MakeCheckpoint());
  if (!checkpoint) {
    return;
  }
  mIsCheckpointing = true;
  mWriter.Append(RecordKind::kCheckpoint,
                 std::move(*checkpoint),
                 mExecutor.Now() + kCheckpointTimeout,
                 [this](const tl::expected<Confirmation, WriteError>&) {
                   mIsCheckpointing = false;
                 });
}

} // namespace firefly::coord
