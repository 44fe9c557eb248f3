#pragma once

// Fetches the record of the routing table from a peer, so that a newer table
// takes effect even if the log does not answer this process.

#include <functional>
#include <memory>
#include <string>

#include "policy/table_update/table_update_planner.h"
#include "servers/http/http_client.h"
#include "servers/log/log.h"

namespace firefly {

// Path on a relay's status port that serves the record of its routing table.
inline constexpr const char* kRoutingPath = "/routing";

class RoutingTableFetcher
{
public:
  // Receives the outcome and, if it is kReceived, the record.
  using Handler = std::function<void(policy::TableFetchOutcome aOutcome,
                                     const std::string& aRecord)>;

  // The client must outlive the fetcher.
  RoutingTableFetcher(HttpClient& aClient, Handler aHandler);

  // Fetches the record from that peer, such as "10.0.0.1:8141". The call has no
  // effect while another fetch is under way.
  void Fetch(const std::string& aPeer);

private:
  HttpClient& mClient;
  Handler mHandler;
  Log mLog{ "routing" };
  bool mIsFetching = false;
  std::shared_ptr<bool> mAlive = std::make_shared<bool>(true);
};

} // namespace firefly
