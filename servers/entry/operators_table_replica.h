#pragma once

// The operators' table at this entry: read from the log or a peer, put into
// force, never an older version again.

#include <functional>
#include <optional>
#include <string>
#include <vector>

#include "coord/versioned_table.h"
#include "policy/limits.h"
#include "servers/http/http_client.h"
#include "servers/http/http_server.h"
#include "servers/log/log.h"
#include "servers/table/log_table_store.h"
#include "servers/table/table_admin.h"

namespace firefly {

// The limits that the policies keep under a table, with the settings' values
// where a cell is empty.
std::vector<policy::LimitRow>
ToLimitRows(const OperatorsTable& aTable, const Settings& aSettings);

class OperatorsTableReplica : private coord::TableObserver
{
public:
  // Told of each version that comes into force.
  using Handler =
    std::function<void(TableVersion, const std::vector<policy::LimitRow>&)>;

  struct Options
  {
    const Settings* settings = nullptr;
    coord::WriterId writer;
    std::uint64_t seed = 1;
  };

  OperatorsTableReplica(const Options& aOptions,
                        Executor& aExecutor,
                        coord::LogClient& aLog,
                        HttpClient& aClient,
                        Handler aOnVersion);

  // Puts the settings' own values into force and begins to read the table.
  void Start();

  // A live peer told of its table's version; a newer one is fetched.
  void OnPeerVersion(const HostId& aPeer, TableVersion aVersion);

  // Whether the table may be relied on: it is known, and there was news of it
  // from the log or a peer within the table timeout.
  [[nodiscard]] bool Ready() const;

  [[nodiscard]] TableVersion Version() const;
  [[nodiscard]] TableStore& Store() { return mStore; }

  // Joins the operators' interface, which remembers the versions.
  void SetAdmin(TableAdmin* aAdmin) { mAdmin = aAdmin; }

  // Answers a peer's request for the table.
  void ServeSnapshot(HttpResponder& aResponder) const;

  static constexpr const char* kSnapshotName = "snapshot";

private:
  void OnVersion(const coord::Snapshot& aSnapshot) override;
  void ApplyTable(const coord::Snapshot& aSnapshot);
  void FetchFromPeers();
  void Fetch(const HostSettings& aPeer);
  void OnFetched(const tl::expected<HttpResult, HttpError>& aResult);

  Options mOptions;
  Executor& mExecutor;
  HttpClient& mClient;
  Handler mOnVersion;
  Log mLog{ "table" };
  coord::VersionedTable mTable;
  LogTableStore mStore;
  TableAdmin* mAdmin = nullptr;
  std::size_t mPendingFetches = 0; // calls to peers that are under way
  std::optional<coord::Snapshot> mNewestFetched; // of their answers so far
  Instant mPeerConfirmedAt{};
  Timer mFetchTimer;
};

} // namespace firefly
