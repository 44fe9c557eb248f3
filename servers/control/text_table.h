#pragma once

// Formats rows as aligned text columns for a terminal.

#include <string>
#include <vector>

namespace firefly {

class TextTable
{
public:
  explicit TextTable(std::vector<std::string> aHeader);

  // Adds a row, which must have as many cells as the header. An empty cell is
  // printed as "-".
  void Add(std::vector<std::string> aCells);

  // The table with a line end after each row; empty if there are no rows.
  [[nodiscard]] std::string Text() const;

private:
  std::vector<std::vector<std::string>> mRows;
};

} // namespace firefly
