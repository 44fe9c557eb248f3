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

  // Takes over a table if it is newer than the one in force.
  void Offer(policy::RoutingTable aTable, const std::string& aSource);

  // The table in force; null until the first one is known. A request keeps the
  // one that it began with.
  [[nodiscard]] const Table& Current() const { return mCurrent; }

private:
  Log mLog{ "routing" };
  Table mCurrent;
  std::function<void(const policy::RoutingTable&)> mCallback;
};

} // namespace firefly
