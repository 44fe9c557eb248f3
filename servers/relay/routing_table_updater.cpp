#include "servers/relay/routing_table_updater.h"

#include <algorithm>
#include <utility>

namespace firefly {

namespace {

using policy::TableFetchOutcome;
using policy::TableSource;
using Audience = RoutingTablePeers::Audience;

// An answer to a read of the table's stream holds one table of the present size
// and this many bytes more. It then holds a change of a table that has grown
// somewhat, or many changes of a small table, but not a backlog of large ones.
constexpr std::size_t kReadMarginBytes = 64U << 10U;

// A fetch asks one of this many relays that announced last, which fewer others
// ask than the first ones.
constexpr std::size_t kRecentAnnouncers = 4;

coord::KeyedFeed::Options
WithStream(coord::KeyedFeed::Options aOptions, coord::StreamName aStream)
{
  aOptions.stream = std::move(aStream);
  aOptions.maxReadBytes = kReadMarginBytes;
  return aOptions;
}

} // namespace

RoutingTableUpdater::RoutingTableUpdater(Options aOptions, const Parts& aParts)
  : mOptions(std::move(aOptions))
  , mParts(aParts)
  , mRandom(mOptions.feed.seed)
  , mListener("routing", MakeHandlers())
  , mFeed(WithStream(mOptions.feed, aParts.decoder->RoutingStream()),
          *aParts.executor,
          *aParts.log,
          mListener)
  , mFetcher(*aParts.client,
             [this](TableFetchOutcome aOutcome, const std::string& aRecord) {
               OnFetched(aOutcome, aRecord);
             })
{
}

FeedListener::Handlers
RoutingTableUpdater::MakeHandlers()
{
  return {
    .onRecord =
      [this](const coord::KeyedRecord& aRecord) { return OnRecord(aRecord); },
    .onProgress =
      [this](const coord::FeedProgress& aProgress) { OnProgress(aProgress); },
    .onBehind =
      [this] { mParts.metrics->feedCatchUps.With({ "routing" }).Add(); },
    .onReadFailing = [this] { mParts.peers->ShareReadFailure(); },
    .onSnapshot = [this](const std::vector<std::string>&) { OnSnapshot(); },
    .onLost = [this] { EndLogRead(); },
    .onRestored =
      [this] { mParts.metrics->logRestores.With({ "routing" }).Add(); },
  };
}

policy::RoutingVersion
RoutingTableUpdater::OwnVersion() const
{
  const auto& table = mParts.replica->Current();
  return table ? table->Version() : policy::RoutingVersion();
}

Duration
RoutingTableUpdater::BehindFor() const
{
  return mPlanner.BehindFor(OwnVersion(), mParts.executor->Now());
}

bool
RoutingTableUpdater::OnRecord(const coord::KeyedRecord& aRecord)
{
  if (aRecord.key != mParts.decoder->RoutingKey() || !aRecord.value) {
    return false;
  }
  return Apply(*aRecord.value, "log");
}

void
RoutingTableUpdater::OnProgress(const coord::FeedProgress& aProgress)
{
  mParts.peers->ShareProgress(aProgress);
  if (!aProgress.newRecords.empty()) {
    AnnounceOwn(aProgress.next);
  }
  EndLogRead();
}

void
RoutingTableUpdater::OnSnapshot()
{
  // Relays that start together load the same table.
  const bool isFirst = !std::exchange(mHasLoaded, true);
  if (!isFirst) {
    AnnounceOwn(mFeed.Next());
  }
  EndLogRead();
}

bool
RoutingTableUpdater::Apply(const std::string& aRecord,
                           const std::string& aSource)
{
  auto& replica = *mParts.replica;
  if (!aRecord.empty() && aRecord == replica.Record()) {
    return true; // the same record from another source
  }
  const auto start = mParts.executor->Now();
  auto table = mParts.decoder->DecodeRouting(aRecord);
  mParts.metrics->tableDecodeSeconds.With({ aSource })
    .Observe(ToSeconds(mParts.executor->Now() - start));
  if (!table) {
    mLog.Warning("invalid routing record ignored",
                 { { "source", aSource }, { "why", table.error().message } });
    return false;
  }
  replica.UpdateIfNewer(std::move(*table), aSource, aRecord);
  mFeed.SetMaxReadBytes(replica.Record().size() + kReadMarginBytes);
  if (const auto took =
        mPlanner.OnInForce(OwnVersion(), mParts.executor->Now())) {
    mParts.metrics->tableUpdateSeconds.With({}).Observe(ToSeconds(*took));
  }
  return true;
}

void
RoutingTableUpdater::AnnounceOwn(coord::LogOffset aNext)
{
  const auto version = OwnVersion().Value();
  if (version > std::max(mAnnounced, mNewest.version)) {
    mAnnounced = version;
    Announce(aNext, Audience::kAll);
  } else if (mIsForwarder && version >= mNewest.version) {
    Announce(aNext, Audience::kFailureDomain);
  } else if (version >= mNewest.version && version > mSpread &&
             mPlanner.SpreadsFromHostToHost(
               mParts.server->TransferBytes(),
               mParts.peers->AnnouncementCount())) {
    Announce(aNext, Audience::kSample);
  } else {
    return;
  }
  mSpread = version;
  mIsForwarder = false;
}

void
RoutingTableUpdater::Announce(coord::LogOffset aNext, Audience aAudience)
{
  mParts.peers->Announce({ .version = OwnVersion().Value(),
                           .next = aNext,
                           .bytes = mParts.server->TransferBytes(),
                           .host = {} },
                         aAudience);
}

void
RoutingTableUpdater::OnAnnounced(const RoutingUpdate& aUpdate,
                                 bool aIsForwarder)
{
  const policy::RoutingVersion version(aUpdate.version);
  if (version <= OwnVersion()) {
    return;
  }
  mIsForwarder = mIsForwarder || aIsForwarder;
  if (aUpdate.version > mNewest.version) {
    mAnnouncers.clear();
  }
  if (aUpdate.version >= mNewest.version &&
      std::ranges::find(mAnnouncers, aUpdate.host) == mAnnouncers.end()) {
    mAnnouncers.push_back(aUpdate.host);
  }
  if (mPlanner.OnAnnounced(version, aUpdate.bytes, mParts.executor->Now())) {
    mNewest = aUpdate;
    Continue();
  }
}

void
RoutingTableUpdater::Continue()
{
  const auto decision =
    mPlanner.Decide({ .now = mParts.executor->Now(),
                      .ownVersion = OwnVersion(),
                      .ownBytes = mParts.server->TransferBytes(),
                      .isLogLost = mFeed.Lost() });
  using Kind = policy::TableUpdatePlanner::Decision::Kind;
  if (decision.kind == Kind::kWait) {
    mTimer = mParts.executor->RunAfter(decision.wait, [this] { Continue(); });
  } else if (decision.kind == Kind::kFetch) {
    Fetch(decision.source);
  }
}

std::string
RoutingTableUpdater::PickAnnouncer()
{
  if (mAnnouncers.empty()) {
    return mNewest.host;
  }
  const auto n = std::min(mAnnouncers.size(), kRecentAnnouncers);
  return mAnnouncers[mAnnouncers.size() - 1 - mRandom.Below(n)];
}

void
RoutingTableUpdater::Fetch(TableSource aSource)
{
  mFetched = mNewest;
  mFetched.host = PickAnnouncer();
  mLog.Info("a peer has a newer routing table",
            { { "version", std::to_string(mNewest.version) },
              { "here", std::to_string(OwnVersion().Value()) },
              { "bytes", std::to_string(mNewest.bytes) },
              { "peer", mFetched.host },
              { "from", aSource == TableSource::kLog ? "log" : "peer" } });
  if (aSource == TableSource::kAnnouncer) {
    mPlanner.OnFetchStarted(aSource, mParts.executor->Now());
    mFetcher.Fetch(mFetched.host + ":" + std::to_string(mOptions.statusPort));
    return;
  }
  mIsReadingLog = true;
  mPlanner.OnFetchStarted(aSource, mParts.executor->Now());
  mFeed.ReadNewest();
}

void
RoutingTableUpdater::OnFetched(TableFetchOutcome aOutcome,
                               const std::string& aRecord)
{
  mPlanner.OnFetchEnded(aOutcome);
  if (aOutcome == TableFetchOutcome::kReceived && Apply(aRecord, "peer") &&
      OwnVersion().Value() >= mFetched.version) {
    mFeed.SkipTo(mFetched.next);
    AnnounceOwn(mFetched.next);
  } else if (aOutcome != TableFetchOutcome::kBusy) {
    std::erase(mAnnouncers, mFetched.host);
  }
  Continue();
}

void
RoutingTableUpdater::EndLogRead()
{
  if (std::exchange(mIsReadingLog, false)) {
    mPlanner.OnFetchEnded(TableFetchOutcome::kReceived);
  }
  if (mNewest.version > OwnVersion().Value()) {
    // The feed schedules its next read after its callbacks.
    mTimer =
      mParts.executor->RunAfter(Duration::zero(), [this] { Continue(); });
  }
}

} // namespace firefly
