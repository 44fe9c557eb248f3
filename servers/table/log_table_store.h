#pragma once

// Joins the operators' interface to the table on the platform's log.

#include <optional>
#include <string>
#include <utility>

#include "servers/table/table_admin.h"

namespace firefly {

// The store on the platform's log. The table must outlive it.
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
