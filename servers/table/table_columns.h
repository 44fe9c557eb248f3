#pragma once

// The columns of the table's CSV, with the conversion of each cell from and to
// text.

#include <array>
#include <string>
#include <string_view>
#include <vector>

#include "servers/table/operators_table.h"

namespace firefly {

// A column. Read stores the parsed text in the row and returns an empty text.
// If the text is invalid, it returns a description of the allowed values, and
// the row's value must not be used.
struct TableColumn
{
  std::string_view name;
  std::string (*write)(const TableRow& aRow);
  std::string_view (*read)(const std::string& aText, TableRow& aRow);
};

// The number of key columns; they come first.
constexpr std::size_t kTableKeyColumnCount = 3;

// All columns in the order of the CSV file.
const std::array<TableColumn, 8>&
TableColumns();

// The row's cells in the order of the columns.
std::vector<std::string>
CellsOf(const TableRow& aRow);

} // namespace firefly
