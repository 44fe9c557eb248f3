#pragma once

// The routing table in force in this process. It never goes back to an older
// version.

#include <functional>
#include <memory>

#include "policy/routing_table.h"
#include "servers/log/log.h"

namespace firefly {

class RoutingKeeper
{
public:
  using Table = std::shared_ptr<const policy::RoutingTable>;

  // Runs the callback after each change.
  void OnChange(std::function<void(const policy::RoutingTable&)> aCallback);

  // Takes over a table if it is newer than the one in force. The record is
  // what it was decoded from, for peers that can't read it themselves.
  void Offer(policy::RoutingTable aTable,
             const std::string& aSource,
             std::string aRecord = {});

  // The record of the table in force; empty until one is known.
  [[nodiscard]] const std::string& Record() const { return mRecord; }

  // The table in force; null until the first one is known. A request keeps the
  // one that it began with.
  [[nodiscard]] const Table& Current() const { return mCurrent; }

private:
  Log mLog{ "routing" };
  Table mCurrent;
  std::string mRecord;
  std::function<void(const policy::RoutingTable&)> mCallback;
};

} // namespace firefly
