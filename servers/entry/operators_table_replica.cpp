#include "servers/entry/operators_table_replica.h"

#include <algorithm>
#include <utility>

namespace firefly {

namespace {

constexpr Duration kFetchInterval = std::chrono::milliseconds(500);
constexpr Duration kFetchTimeout = std::chrono::seconds(2);
constexpr std::size_t kMaxSnapshotBytes = 2U << 20U;
constexpr int kUnavailable = 503;
constexpr int kOk = 200;

coord::VersionedTable::Options
TableOptions(const OperatorsTableReplica::Options& aOptions)
{
  return { .writer = aOptions.writer,
           .pollInterval = aOptions.settings->platform.pollInterval,
           .seed = aOptions.seed };
}

} // namespace

std::vector<policy::LimitRow>
ToLimitRows(const OperatorsTable& aTable, const Settings& aSettings)
{
  std::vector<policy::LimitRow> rows;
  for (const auto& [key, row] : aTable.Rows()) {
    const auto* type = aSettings.FindRequestType(row.service, row.requestType);
    if (type == nullptr) {
      continue;
    }
    rows.push_back({ .service = row.service,
                     .requestType = row.requestType,
                     .customer = row.customer,
                     .weight = row.weight,
                     .maxConcurrent = row.maxConcurrent.value_or(0),
                     .ratePerSecond = row.ratePerSecond.value_or(0),
                     .worth = policy::Worth(row.worth.value_or(type->worth)),
                     .lateAfter = row.lateAfter.value_or(type->lateAfter) });
  }
  return rows;
}

OperatorsTableReplica::OperatorsTableReplica(const Options& aOptions,
                                             Executor& aExecutor,
                                             coord::LogClient& aLog,
                                             HttpClient& aClient,
                                             Handler aOnVersion)
  : mOptions(aOptions)
  , mExecutor(aExecutor)
  , mClient(aClient)
  , mOnVersion(std::move(aOnVersion))
  , mTable(TableOptions(aOptions), aExecutor, aLog, this)
  , mStore(mTable)
{
}

void
OperatorsTableReplica::Start()
{
  mTable.Start();
  FetchFromPeers();
}

// While the log cannot be read, a new process asks all peers and takes the
// newest of their tables rather than the first to arrive.
void
OperatorsTableReplica::FetchFromPeers()
{
  if (!mTable.Ready() && mPendingFetches == 0) {
    for (const auto& it : mOptions.settings->peers) {
      Fetch(it);
    }
  }
  mFetchTimer =
    mExecutor.RunAfter(kFetchInterval, [this] { FetchFromPeers(); });
}

void
OperatorsTableReplica::OnPeerVersion(const HostId& aPeer, TableVersion aVersion)
{
  if (mTable.Ready() && aVersion <= Version()) {
    mPeerConfirmedAt = mExecutor.Now();
    return;
  }
  mTable.ReadNow();
  const auto& peers = mOptions.settings->peers;
  const auto peer =
    std::find_if(peers.begin(), peers.end(), [&](const HostSettings& aHost) {
      return aHost.id == aPeer;
    });
  if (peer != peers.end() && mPendingFetches == 0) {
    Fetch(*peer);
  }
}

void
OperatorsTableReplica::Fetch(const HostSettings& aPeer)
{
  if (aPeer.id == mOptions.settings->host.id) {
    return;
  }
  HttpCall call;
  call.url = "http://" + aPeer.address + ":" +
             std::to_string(aPeer.entryAdminPort) + "/admin/" + kSnapshotName;
  BoundByProgress(call, kFetchTimeout);
  call.maxBodyBytes = kMaxSnapshotBytes;
  ++mPendingFetches;
  mClient.Fetch(std::move(call),
                [this](const tl::expected<HttpResult, HttpError>& aResult) {
                  --mPendingFetches;
                  OnFetched(aResult);
                });
}

void
OperatorsTableReplica::OnFetched(
  const tl::expected<HttpResult, HttpError>& aResult)
{
  const auto snapshot = aResult && aResult->status == kOk
                          ? coord::DecodeSnapshot(aResult->body)
                          : std::nullopt;
  if (snapshot &&
      (!mNewestFetched || snapshot->version > mNewestFetched->version)) {
    mNewestFetched = snapshot;
  }
  if (mPendingFetches > 0 || !mNewestFetched) {
    return;
  }
  mTable.Offer(*mNewestFetched);
  mNewestFetched.reset();
  mPeerConfirmedAt = mExecutor.Now();
}

bool
OperatorsTableReplica::Ready() const
{
  if (!mTable.Ready()) {
    return false;
  }
  if (mOptions.settings->peers.size() <= 1) {
    return true; // no peer could have a newer one
  }
  const auto confirmedAt =
    std::max(mTable.FreshAt().value_or(Instant{}), mPeerConfirmedAt);
  return mExecutor.Now() - confirmedAt <= mOptions.settings->entry.tableTimeout;
}

TableVersion
OperatorsTableReplica::Version() const
{
  const auto& current = mTable.Current();
  return current ? current->version : TableVersion();
}

void
OperatorsTableReplica::ServeSnapshot(HttpResponder& aResponder) const
{
  const auto& current = mTable.Current();
  if (!current) {
    aResponder.Send({ .status = kUnavailable, .headers = {}, .body = "{}" });
    return;
  }
  aResponder.Send({ .contentType = "application/octet-stream",
                    .headers = {},
                    .body = coord::EncodeSnapshot(*current) });
}

void
OperatorsTableReplica::OnVersion(const coord::Snapshot& aSnapshot)
{
  ApplyTable(aSnapshot);
  if (mAdmin != nullptr) {
    mAdmin->RecordVersion(aSnapshot);
  }
}

void
OperatorsTableReplica::ApplyTable(const coord::Snapshot& aSnapshot)
{
  const auto& settings = *mOptions.settings;
  const bool isUnset = aSnapshot.version.Value() == 0;
  const auto table = isUnset ? MakeDefaultTable(settings)
                             : ParseTable(aSnapshot.payload, nullptr);
  const auto version = std::to_string(aSnapshot.version.Value());
  if (!table) {
    mLog.Error("cannot parse the table; limits stay unchanged",
               { { "version", version } });
    return;
  }
  mLog.Info("table in force", { { "version", version } });
  mOnVersion(aSnapshot.version, ToLimitRows(*table, settings));
}

} // namespace firefly
