#include "servers/control/text_table.h"

#include <algorithm>
#include <cassert>

namespace firefly {

namespace {

// The number of characters of a UTF-8 text. Each is assumed to take one
// terminal column.
std::size_t
WidthOf(const std::string& aText)
{
  return static_cast<std::size_t>(std::ranges::count_if(aText, [](char aChar) {
    return (static_cast<unsigned char>(aChar) & 0xc0U) != 0x80U;
  }));
}

// Replaces control characters, since text from other processes could contain
// terminal escape sequences.
std::string
ReplaceControlCharacters(std::string aText)
{
  std::ranges::replace_if(
    aText,
    [](char aChar) {
      const auto byte = static_cast<unsigned char>(aChar);
      return byte < 0x20 || byte == 0x7f;
    },
    '?');
  return aText;
}

} // namespace

TextTable::TextTable(std::vector<std::string> aHeader)
{
  mRows.push_back(std::move(aHeader));
}

void
TextTable::Add(std::vector<std::string> aCells)
{
  assert(aCells.size() == mRows.front().size());
  for (auto& it : aCells) {
    it = it.empty() ? "-" : ReplaceControlCharacters(std::move(it));
  }
  mRows.push_back(std::move(aCells));
}

std::string
TextTable::Text() const
{
  if (mRows.size() == 1) {
    return "";
  }
  std::vector<std::size_t> widths(mRows.front().size());
  for (const auto& row : mRows) {
    for (std::size_t n = 0; n < row.size(); ++n) {
      widths[n] = std::max(widths[n], WidthOf(row[n]));
    }
  }
  std::string text;
  for (const auto& row : mRows) {
    std::string line;
    for (std::size_t n = 0; n < row.size(); ++n) {
      line += row[n];
      line.append(widths[n] - WidthOf(row[n]) + 2, ' ');
    }
    line.erase(line.find_last_not_of(' ') + 1);
    text += line + '\n';
  }
  return text;
}

} // namespace firefly
