#pragma once

// The values of a TOML file as a tree, independent of the TOML library's types.

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

// A TOML value of a type that no setting uses: a date or a time.
struct SettingUnused
{};

// A value and its line in the file; line 0 means that the line is unknown.
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

// Why a file could not be read or parsed, as one line.
struct SettingFileError
{
  std::string message;
};

// Reads and parses a TOML file. The result is its root table.
tl::expected<SettingValue, SettingFileError>
ReadSettingFile(const std::string& aFile);

// The value as it would be written in the file, or its type, for error
// messages.
std::string
DescribeSetting(const SettingValue& aValue);

} // namespace firefly
