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
  NoticeLease();
}

void
AuthorityStream::OnCaughtUp()
{
  NoticeLease();
}

void
AuthorityStream::NoticeLease()
{
  const auto& lease = mState.Lease();
  const auto newest = lease ? std::optional(lease->renewed) : std::nullopt;
  if (newest == mLeaseRecord && mLeaseRead) {
    return;
  }
  mLeaseRead = true;
  mLeaseRecord = newest;
  mLeaseReadAt = mExecutor.Now();
}

void
AuthorityStream::MaintainCheckpoint()
{
  const bool lost = mFold.State() == StreamFold::Status::kLost;
  const bool old =
    mExecutor.Now() - mFold.LastCheckpoint() >= mOptions.checkpointInterval;
  if (mCheckpointing || !(lost || (mFold.Ready() && old))) {
    return;
  }
  mCheckpointing = true;
  mWriter.Append(RecordKind::kCheckpoint,
                 mFold.MakeCheckpoint(),
                 mExecutor.Now() + kCheckpointTimeout,
                 [this](const tl::expected<Confirmation, WriteError>&) {
                   mCheckpointing = false;
                 });
}

} // namespace firefly::coord
