#include "servers/table/limit_rows.h"

namespace firefly {

namespace {

// The row of a request type by the settings alone.
policy::LimitRow
SettingsRow(const ServiceSettings& aService, const RequestTypeSettings& aType)
{
  return { .service = aService.id,
           .requestType = aType.name,
           .customer = OperatorsTable::AnyCustomer(),
           .worth = policy::Worth(aType.worth),
           .lateAfter = aType.lateAfter };
}

// The table's row, with an empty worth and deadline inherited from the fallback
// row. Limits are never inherited: an empty one means that the row has no
// limit.
policy::LimitRow
Merge(const TableRow& aRow, const policy::LimitRow& aFallback)
{
  policy::LimitRow merged = aFallback;
  merged.customer = aRow.customer;
  merged.weight = aRow.weight;
  merged.maxConcurrent = aRow.maxConcurrent.value_or(0);
  merged.ratePerSecond = aRow.ratePerSecond.value_or(0);
  if (aRow.worth) {
    merged.worth = policy::Worth(*aRow.worth);
  }
  merged.lateAfter = aRow.lateAfter.value_or(aFallback.lateAfter);
  return merged;
}

} // namespace

std::vector<policy::LimitRow>
MakeLimitRows(const OperatorsTable& aTable, const Settings& aSettings)
{
  const auto& any = OperatorsTable::AnyCustomer();
  std::vector<policy::LimitRow> rows;
  for (const auto& service : aSettings.services) {
    for (const auto& type : service.requestTypes) {
      auto all = SettingsRow(service, type);
      if (const auto* row = aTable.Find(service.id, type.name, any)) {
        all = Merge(*row, all);
      }
      rows.push_back(all);
    }
  }
  const std::size_t count = rows.size();
  for (const auto& [key, row] : aTable.Rows()) {
    for (std::size_t n = 0; n < count; ++n) {
      const auto& all = rows[n];
      if (row.customer != any && all.service == row.service &&
          all.requestType == row.requestType) {
        rows.push_back(Merge(row, policy::LimitRow(all)));
      }
    }
  }
  return rows;
}

} // namespace firefly
