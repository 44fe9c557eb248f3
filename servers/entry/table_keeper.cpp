#include "servers/entry/table_keeper.h"

#include <algorithm>
#include <utility>

namespace firefly {

namespace {

constexpr Duration kAskInterval = std::chrono::milliseconds(500);
constexpr Duration kFetchTimeout = std::chrono::seconds(2);
constexpr std::size_t kMaxSnapshotBytes = 2U << 20U;
constexpr int kUnavailable = 503;
constexpr int kOk = 200;

coord::VersionedTable::Options
TableOptions(const TableKeeper::Options& aOptions)
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

TableKeeper::TableKeeper(const Options& aOptions,
                         Executor& aExecutor,
                         coord::LogClient& aLog,
                         HttpClient& aClient,
                         Handler aHandler)
  : mOptions(aOptions)
  , mExecutor(aExecutor)
  , mClient(aClient)
  , mHandler(std::move(aHandler))
  , mTable(TableOptions(aOptions), aExecutor, aLog, this)
  , mStore(mTable)
{
}

void
TableKeeper::Start()
{
  mTable.Start();
  AskPeers();
}

// While the log can't be read, a fresh process takes the newest table of all
// its peers rather than that of the first.
void
TableKeeper::AskPeers()
{
  if (!mTable.Ready() && mFetching == 0) {
    for (const auto& it : mOptions.settings->peers) {
      Fetch(it);
    }
  }
  mAskTimer = mExecutor.RunAfter(kAskInterval, [this] { AskPeers(); });
}

void
TableKeeper::OnPeerVersion(const HostId& aPeer, TableVersion aVersion)
{
  if (mTable.Ready() && aVersion <= Version()) {
    mPeerAgreedAt = mExecutor.Now();
    return;
  }
  mTable.Poke();
  const auto& peers = mOptions.settings->peers;
  const auto peer =
    std::find_if(peers.begin(), peers.end(), [&](const HostSettings& aHost) {
      return aHost.id == aPeer;
    });
  if (peer != peers.end() && mFetching == 0) {
    Fetch(*peer);
  }
}

void
TableKeeper::Fetch(const HostSettings& aPeer)
{
  if (aPeer.id == mOptions.settings->host.id) {
    return;
  }
  HttpCall call;
  call.url = "http://" + aPeer.address + ":" +
             std::to_string(aPeer.entryAdminPort) + "/admin/" + kSnapshotName;
  call.totalTimeout = kFetchTimeout;
  call.maxBodyBytes = kMaxSnapshotBytes;
  ++mFetching;
  mClient.Fetch(std::move(call),
                [this](const tl::expected<HttpResult, HttpError>& aResult) {
                  --mFetching;
                  OnFetched(aResult);
                });
}

void
TableKeeper::OnFetched(const tl::expected<HttpResult, HttpError>& aResult)
{
  const auto snapshot = aResult && aResult->status == kOk
                          ? coord::DecodeSnapshot(aResult->body)
                          : std::nullopt;
  if (snapshot && (!mBest || snapshot->version > mBest->version)) {
    mBest = snapshot;
  }
  if (mFetching > 0 || !mBest) {
    return;
  }
  mTable.Offer(*mBest);
  mBest.reset();
  mPeerAgreedAt = mExecutor.Now();
}

bool
TableKeeper::Ready() const
{
  if (!mTable.Ready()) {
    return false;
  }
  if (mOptions.settings->peers.size() <= 1) {
    return true; // nobody else could have a newer one
  }
  const auto news =
    std::max(mTable.FreshAt().value_or(Instant{}), mPeerAgreedAt);
  return mExecutor.Now() - news <= mOptions.settings->entry.tableTimeout;
}

TableVersion
TableKeeper::Version() const
{
  const auto& current = mTable.Current();
  return current ? current->version : TableVersion();
}

void
TableKeeper::ServeSnapshot(HttpResponder& aResponder) const
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
TableKeeper::OnVersion(const coord::Snapshot& aSnapshot)
{
  PutInForce(aSnapshot);
  if (mAdmin != nullptr) {
    mAdmin->Remember(aSnapshot);
  }
}

void
TableKeeper::PutInForce(const coord::Snapshot& aSnapshot)
{
  const auto& settings = *mOptions.settings;
  const bool none = aSnapshot.version.Value() == 0;
  const auto table =
    none ? MakeDefaultTable(settings) : ParseTable(aSnapshot.payload, nullptr);
  const auto version = std::to_string(aSnapshot.version.Value());
  if (!table) {
    mLog.Error("unreadable table", { { "version", version } });
    return;
  }
  mLog.Info("table in force", { { "version", version } });
  mHandler(aSnapshot.version, ToLimitRows(*table, settings));
}

} // namespace firefly
