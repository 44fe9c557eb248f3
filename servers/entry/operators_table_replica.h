#pragma once

// Holds this entry's copy of the operators' table, read from the log or fetched
// from a peer, and applies each new version. It never goes back to an older
// one.

#include <functional>
#include <optional>
#include <string>
#include <vector>

#include "coord/versioned_table.h"
#include "policy/request_limiter.h"
#include "servers/http/http_client.h"
#include "servers/http/http_server.h"
#include "servers/log/log.h"
#include "servers/table/log_table_store.h"
#include "servers/table/table_admin.h"

namespace firefly {

// Returns the limits that the policies enforce under a table. Empty cells take
// the settings' values. Rows of unknown request types are skipped.
std::vector<policy::LimitRow>
ToLimitRows(const OperatorsTable& aTable, const Settings& aSettings);

class OperatorsTableReplica : private coord::TableObserver
{
public:
  // Called with each version that comes into force.
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

  // Starts reading the table from the log, and from peers while the log cannot
  // be read. Version 0 means that no table was written yet; the settings'
  // values are then in force.
  void Start();

  // Call it when a live peer's digest names its table's version. A newer
  // version is read from the log and fetched from the peer.
  void OnPeerVersion(const HostId& aPeer, TableVersion aVersion);

  // Whether the table is known, and the log or a peer confirmed it within the
  // table timeout. An entry without peers needs no confirmation.
  [[nodiscard]] bool Ready() const;

  // The version in force; also 0 while no table is known.
  [[nodiscard]] TableVersion Version() const;
  [[nodiscard]] TableStore& Store() { return mStore; }

  // Sets the operators' interface, which stores each version. May be null.
  void SetAdmin(TableAdmin* aAdmin) { mAdmin = aAdmin; }

  // Answers a peer's request for the table with an encoded snapshot.
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
  std::size_t mPendingFetches = 0;               // open calls to peers
  std::optional<coord::Snapshot> mNewestFetched; // of the peers' answers
  Instant mPeerConfirmedAt{};
  Timer mFetchTimer;
};

} // namespace firefly
