#include "servers/table/operators_table.h"

#include <xxhash.h>

namespace firefly {

const CustomerId&
OperatorsTable::AnyCustomer()
{
  static const CustomerId kAny("*");
  return kAny;
}

OperatorsTable::Key
OperatorsTable::KeyOf(const TableRow& aRow)
{
  return { aRow.service, aRow.requestType, aRow.customer };
}

bool
OperatorsTable::Add(TableRow aRow)
{
  Key key = KeyOf(aRow);
  return mRows.emplace(std::move(key), std::move(aRow)).second;
}

const TableRow*
OperatorsTable::Find(const ServiceId& aService,
                     const RequestType& aType,
                     const CustomerId& aCustomer) const
{
  const auto found = mRows.find({ aService, aType, aCustomer });
  return found == mRows.end() ? nullptr : &found->second;
}

OperatorsTable
MakeDefaultTable(const Settings& aSettings)
{
  OperatorsTable table;
  for (const auto& service : aSettings.services) {
    for (const auto& type : service.requestTypes) {
      table.Add({ .service = service.id,
                  .requestType = type.name,
                  .customer = OperatorsTable::AnyCustomer(),
                  .maxConcurrent = {},
                  .ratePerSecond = {},
                  .worth = type.worth,
                  .lateAfter = type.lateAfter });
    }
  }
  return table;
}

std::uint64_t
DigestOf(const OperatorsTable& aTable)
{
  const std::string text = FormatTable(aTable);
  return XXH64(text.data(), text.size(), 0);
}

} // namespace firefly
