#pragma once

// Fetches the routing table's record from a peer while the log does not answer
// this process.

#include <functional>
#include <memory>
#include <string>

#include "servers/http/http_client.h"
#include "servers/log/log.h"

namespace firefly {

// Where a relay's status port gives the record of its routing table.
inline constexpr const char* kRoutingPath = "/routing";

class RoutingBorrower
{
public:
  // Takes the record that a peer gave.
  using Handler = std::function<void(const std::string& aRecord)>;

  // The client must outlive the borrower.
  RoutingBorrower(HttpClient& aClient, Handler aHandler);

  // Asks that peer, such as "10.0.0.1:8141"; one is asked at a time.
  void Ask(const std::string& aPeer);

private:
  HttpClient& mClient;
  Handler mHandler;
  Log mLog{ "routing" };
  bool mAsking = false;
  std::shared_ptr<bool> mAlive = std::make_shared<bool>(true);
};

} // namespace firefly
