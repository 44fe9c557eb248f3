#pragma once

// Aligned columns of text for a terminal.

#include <string>
#include <vector>

namespace firefly {

class TextTable
{
public:
  explicit TextTable(std::vector<std::string> aHeader);

  // Adds a row, which must have as many cells as the header; an empty cell is
  // shown as "-".
  void Add(std::vector<std::string> aCells);

  // The table with a line end after each row; empty without rows.
  [[nodiscard]] std::string Text() const;

private:
  std::vector<std::vector<std::string>> mRows;
};

} // namespace firefly
