#pragma once

// The columns of the table's CSV: how each cell is written and read.

#include <array>
#include <string>
#include <string_view>
#include <vector>

#include "servers/table/operators_table.h"

namespace firefly {

// One column. Read changes the row and returns what is allowed when the text
// is not, else nothing.
struct TableColumn
{
  std::string_view name;
  std::string (*write)(const TableRow& aRow);
  std::string_view (*read)(const std::string& aText, TableRow& aRow);
};

// The columns that make a row's key; they come first.
constexpr std::size_t kTableKeyColumns = 3;

// All columns in their order.
const std::array<TableColumn, 8>&
TableColumns();

// The row's cells in the order of the columns.
std::vector<std::string>
CellsOf(const TableRow& aRow);

} // namespace firefly
