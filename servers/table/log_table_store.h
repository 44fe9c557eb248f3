#pragma once

// Adapts the versioned table on the platform's log to the TableStore interface.

#include <optional>
#include <string>
#include <utility>

#include "servers/table/table_admin.h"

namespace firefly {

// The table must outlive the store.
class LogTableStore : public TableStore
{
public:
  explicit LogTableStore(coord::VersionedTable& aTable)
    : mTable(aTable)
  {
  }

  [[nodiscard]] std::optional<coord::Snapshot> Current() const override
  {
    return mTable.Current();
  }

  void Apply(TableVersion aBase,
             std::string aPayload,
             ApplyCallback aCallback) override
  {
    mTable.Apply(aBase, aPayload, std::move(aCallback));
  }

private:
  coord::VersionedTable& mTable;
};

} // namespace firefly
