#include "coord/authority_stream.h"

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
AuthorityStream::OnCaughtUp()
{
  UpdateLeaseReadAt();
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
  const bool lost = mFold.State() == StreamFold::Status::kLost;
  const bool old =
    mExecutor.Now() - mFold.LastCheckpoint() >= mOptions.checkpointInterval;
  if (mIsCheckpointing || !(lost || (mFold.Ready() && old))) {
    return;
  }
  mIsCheckpointing = true;
  mWriter.Append(RecordKind::kCheckpoint,
                 mFold.MakeCheckpoint(),
                 mExecutor.Now() + kCheckpointTimeout,
                 [this](const tl::expected<Confirmation, WriteError>&) {
                   mIsCheckpointing = false;
                 });
}

} // namespace firefly::coord
