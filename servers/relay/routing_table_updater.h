#pragma once

// Keeps the routing table current. It follows the table's stream, shares its
// reads with the other relays, and fetches the newest version that one of them
// announces, from that relay or from the log.

#include <cstdint>
#include <string>
#include <vector>

#include "coord/keyed_feed.h"
#include "core/executor.h"
#include "core/random.h"
#include "policy/table_update/table_update_planner.h"
#include "servers/http/http_client.h"
#include "servers/log/log.h"
#include "servers/relay/feed_listener.h"
#include "servers/relay/peer_update_channel.h"
#include "servers/relay/record_decoder.h"
#include "servers/relay/relay_metrics.h"
#include "servers/relay/routing_table_fetcher.h"
#include "servers/relay/routing_table_replica.h"
#include "servers/relay/routing_table_server.h"

namespace firefly {

// Messages about the routing table to the other relays.
class RoutingTablePeers
{
public:
  virtual ~RoutingTablePeers() = default;

  // What a read of the stream brought, and that a read failed or is overdue.
  virtual void ShareProgress(const coord::FeedProgress& aProgress) = 0;
  virtual void ShareReadFailure() = 0;

  enum class Audience : std::uint8_t
  {
    kAll,
    kFailureDomain,
    // A few relays of the failure domain.
    kSample,
  };
  // Announces the table that is in force here.
  virtual void Announce(const RoutingUpdate& aUpdate, Audience aAudience) = 0;

  // The number of relays that an announcement to all is sent to: those in the
  // failure domain, and a forwarder in each other one.
  [[nodiscard]] virtual std::size_t AnnouncementCount() const = 0;
};

class RoutingTableUpdater
{
public:
  struct Options
  {
    // Of the table's stream; the stream's name is set from the decoder.
    coord::KeyedFeed::Options feed;
    // The port on which each relay serves the record of its table.
    std::uint16_t statusPort = 0;
  };

  // All must outlive the updater.
  struct Parts
  {
    Executor* executor = nullptr;
    coord::KeyedLogClient* log = nullptr;
    HttpClient* client = nullptr;
    const RecordDecoder* decoder = nullptr;
    RoutingTableReplica* replica = nullptr;
    RoutingTableServer* server = nullptr;
    RoutingTablePeers* peers = nullptr;
    RelayMetrics* metrics = nullptr;
  };

  RoutingTableUpdater(Options aOptions, const Parts& aParts);
  RoutingTableUpdater(const RoutingTableUpdater&) = delete;
  RoutingTableUpdater& operator=(const RoutingTableUpdater&) = delete;

  void Start() { mFeed.Start(); }

  // A relay has announced its table. A forwarder announces the table in its
  // failure domain once it has it.
  void OnAnnounced(const RoutingUpdate& aUpdate, bool aIsForwarder);

  [[nodiscard]] coord::KeyedFeed& Feed() { return mFeed; }
  [[nodiscard]] const coord::KeyedFeed& Feed() const { return mFeed; }

  // The time since this relay learned that its table is not the newest; zero if
  // it knows of no newer one.
  [[nodiscard]] Duration BehindFor() const;

private:
  FeedListener::Handlers MakeHandlers();
  bool OnRecord(const coord::KeyedRecord& aRecord);
  void OnProgress(const coord::FeedProgress& aProgress);
  void OnSnapshot();
  // Returns whether the record is a valid table.
  bool Apply(const std::string& aRecord, const std::string& aSource);
  void OnFetched(policy::TableFetchOutcome aOutcome,
                 const std::string& aRecord);
  // Announces the table in force to the relays that have not been told of it.
  // aNext is the offset after its record.
  void AnnounceOwn(coord::LogOffset aNext);
  void Announce(coord::LogOffset aNext, RoutingTablePeers::Audience aAudience);
  // Fetches the newest announced table if it is time to.
  void Continue();
  void Fetch(policy::TableSource aSource);
  // One of the relays that have announced the newest version.
  std::string PickAnnouncer();
  void EndLogRead();
  [[nodiscard]] policy::RoutingVersion OwnVersion() const;

  Options mOptions;
  Parts mParts;
  Log mLog{ "server" };
  policy::TableUpdatePlanner mPlanner{ {} };
  // The newest announcement.
  RoutingUpdate mNewest;
  // IP addresses of the relays that have announced its version, without those
  // whose table could not be fetched.
  std::vector<std::string> mAnnouncers;
  Random mRandom;
  // The announcement that is being fetched.
  RoutingUpdate mFetched;
  // Whether the other relays in the failure domain wait for an announcement.
  bool mIsForwarder = false;
  // Whether the fetch in progress is a read of the log.
  bool mIsReadingLog = false;
  // The newest version that this relay has announced to all others.
  std::uint64_t mAnnounced = 0;
  // The newest version that this relay has announced to some others because it
  // spreads from host to host.
  std::uint64_t mSpread = 0;
  // Whether the newest records have been read once.
  bool mHasLoaded = false;
  FeedListener mListener;
  coord::KeyedFeed mFeed;
  RoutingTableFetcher mFetcher;
  Timer mTimer;
};

} // namespace firefly
