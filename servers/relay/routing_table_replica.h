#pragma once

// Local copy of the routing table, kept current from the log and from peers. It
// never returns to an older version.

#include <functional>
#include <memory>

#include "policy/routing_table.h"
#include "servers/log/log.h"

namespace firefly {

class RoutingTableReplica
{
public:
  using Table = std::shared_ptr<const policy::RoutingTable>;

  // Sets the callback that runs after each change.
  void OnChange(std::function<void(const policy::RoutingTable&)> aCallback);

  // Replaces the table if aTable is newer. aRecord is the record that it was
  // decoded from, kept for peers that cannot read the log.
  void UpdateIfNewer(policy::RoutingTable aTable,
                     const std::string& aSource,
                     std::string aRecord = {});

  // The record of the current table; empty until a table is known.
  [[nodiscard]] const std::string& Record() const { return mRecord; }

  // Where the current table came from, such as "log"; empty until a table is
  // known.
  [[nodiscard]] const std::string& Source() const { return mSource; }

  // The current table; null until the first one is known. A request keeps the
  // table that was current when it arrived.
  [[nodiscard]] const Table& Current() const { return mCurrent; }

private:
  Log mLog{ "routing" };
  Table mCurrent;
  std::string mRecord;
  std::string mSource;
  std::function<void(const policy::RoutingTable&)> mCallback;
};

} // namespace firefly
