#pragma once

// The tree of values that a TOML file holds, free of the TOML library's types.

#include <cstdint>
#include <map>
#include <string>
#include <variant>
#include <vector>

#include <tl/expected.hpp>

namespace firefly {

struct SettingValue;

using SettingTable = std::map<std::string, SettingValue>;
using SettingArray = std::vector<SettingValue>;

// A TOML value of a type that settings never use, such as a date.
struct SettingUnused
{};

// A value and the line it stands on; line 0 means it has none.
struct SettingValue
{
  std::variant<SettingTable,
               SettingArray,
               std::string,
               std::int64_t,
               double,
               bool,
               SettingUnused>
    data;
  unsigned line = 0;
};

// Why a file could not be read as TOML, as one line.
struct SettingFileError
{
  std::string message;
};

// Reads a TOML file whole. The result holds a table.
tl::expected<SettingValue, SettingFileError>
ReadSettingFile(const std::string& aFile);

// The value as an operator would write it, for error messages.
std::string
DescribeSetting(const SettingValue& aValue);

} // namespace firefly
