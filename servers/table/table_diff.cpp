#include "servers/table/operators_table.h"

#include "servers/table/table_columns.h"

namespace firefly {

namespace {

// The cells after the key columns; empty texts if the row is null because one
// of the tables lacks it.
std::vector<std::string>
ValuesOf(const TableRow* aRow)
{
  const std::size_t count = TableColumns().size() - kTableKeyColumnCount;
  if (aRow == nullptr) {
    return std::vector<std::string>(count);
  }
  const auto cells = CellsOf(*aRow);
  return { cells.begin() + kTableKeyColumnCount, cells.end() };
}

RowChange
MakeChange(const OperatorsTable::Key& aKey,
           const TableRow* aBefore,
           const TableRow* aAfter)
{
  RowChange change{ .kind = RowChangeKind::kChanged, .key = aKey, .cells = {} };
  if (aBefore == nullptr) {
    change.kind = RowChangeKind::kAdded;
  } else if (aAfter == nullptr) {
    change.kind = RowChangeKind::kRemoved;
  }
  const auto before = ValuesOf(aBefore);
  const auto after = ValuesOf(aAfter);
  for (std::size_t n = 0; n < before.size(); ++n) {
    if (before[n] != after[n]) {
      const auto name = TableColumns()[n + kTableKeyColumnCount].name;
      change.cells.push_back({ std::string(name), before[n], after[n] });
    }
  }
  return change;
}

const TableRow*
FindRow(const OperatorsTable& aTable, const OperatorsTable::Key& aKey)
{
  const auto& [service, type, customer] = aKey;
  return aTable.Find(service, type, customer);
}

std::string
FormatCell(const CellChange& aCell, RowChangeKind aKind)
{
  const auto textOrNone = [](const std::string& aText) {
    return aText.empty() ? std::string("(none)") : aText;
  };
  if (aKind == RowChangeKind::kAdded) {
    return ' ' + aCell.column + '=' + aCell.after;
  }
  if (aKind == RowChangeKind::kRemoved) {
    return ' ' + aCell.column + '=' + aCell.before;
  }
  return ' ' + aCell.column + '=' + textOrNone(aCell.before) + "->" +
         textOrNone(aCell.after);
}

char
MarkOf(RowChangeKind aKind)
{
  switch (aKind) {
    case RowChangeKind::kAdded:
      return '+';
    case RowChangeKind::kRemoved:
      return '-';
    case RowChangeKind::kChanged:
      break;
  }
  return '~';
}

} // namespace

std::vector<RowChange>
DiffTables(const OperatorsTable& aBefore, const OperatorsTable& aAfter)
{
  std::vector<RowChange> changes;
  for (const auto& [key, row] : aBefore.Rows()) {
    const auto* after = FindRow(aAfter, key);
    if (after == nullptr || *after != row) {
      changes.push_back(MakeChange(key, &row, after));
    }
  }
  for (const auto& [key, row] : aAfter.Rows()) {
    if (FindRow(aBefore, key) == nullptr) {
      changes.push_back(MakeChange(key, nullptr, &row));
    }
  }
  return changes;
}

std::string
FormatDiff(const std::vector<RowChange>& aChanges)
{
  std::string text;
  for (const auto& it : aChanges) {
    const auto& [service, type, customer] = it.key;
    text += MarkOf(it.kind);
    text.append(" ").append(service.Value());
    text.append(" ").append(type.Value());
    text.append(" ").append(customer.Value()).append(":");
    for (const auto& cell : it.cells) {
      text += FormatCell(cell, it.kind);
    }
    text += '\n';
  }
  return text;
}

} // namespace firefly
