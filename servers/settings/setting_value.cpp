#include "servers/settings/setting_value.h"

#include <exception>
#include <fstream>
#include <sstream>

#include <toml.hpp>

namespace firefly {

namespace {

SettingValue
Convert(const toml::value& aValue);

SettingArray
ConvertArray(const toml::value& aValue)
{
  SettingArray array;
  for (const auto& it : aValue.as_array()) {
    array.push_back(Convert(it));
  }
  return array;
}

SettingTable
ConvertTable(const toml::value& aValue)
{
  SettingTable table;
  for (const auto& [key, value] : aValue.as_table()) {
    table.emplace(key, Convert(value));
  }
  return table;
}

SettingValue
Convert(const toml::value& aValue)
{
  SettingValue value{ .data = SettingUnused{},
                      .line = static_cast<unsigned>(aValue.location().line()) };
  if (aValue.is_table()) {
    value.data = ConvertTable(aValue);
  } else if (aValue.is_array()) {
    value.data = ConvertArray(aValue);
  } else if (aValue.is_string()) {
    value.data = aValue.as_string().str;
  } else if (aValue.is_integer()) {
    value.data = static_cast<std::int64_t>(aValue.as_integer());
  } else if (aValue.is_floating()) {
    value.data = static_cast<double>(aValue.as_floating());
  } else if (aValue.is_boolean()) {
    value.data = aValue.as_boolean();
  }
  return value;
}

// Joins the several lines of the library's error message into one.
std::string
JoinLines(const std::string& aText)
{
  std::istringstream in(aText);
  std::string joined;
  for (std::string line; std::getline(in, line);) {
    const auto start = line.find_first_not_of(" \t|");
    if (start == std::string::npos) {
      continue;
    }
    joined += (joined.empty() ? "" : " ") + line.substr(start);
  }
  return joined;
}

} // namespace

tl::expected<SettingValue, SettingFileError>
ReadSettingFile(const std::string& aFile)
{
  std::ifstream in(aFile, std::ios::binary);
  if (!in) {
    return tl::unexpected(SettingFileError{ aFile + ": can't be read" });
  }
  try {
    return Convert(toml::parse(in, aFile));
  } catch (const std::exception& e) {
    return tl::unexpected(
      SettingFileError{ aFile + ": not valid TOML: " + JoinLines(e.what()) });
  }
}

std::string
DescribeSetting(const SettingValue& aValue)
{
  struct Describer
  {
    std::string operator()(const SettingTable&) const { return "a table"; }
    std::string operator()(const SettingArray&) const { return "an array"; }
    std::string operator()(const std::string& aText) const
    {
      return '"' + aText + '"';
    }
    std::string operator()(std::int64_t aNumber) const
    {
      return std::to_string(aNumber);
    }
    std::string operator()(double aNumber) const
    {
      std::ostringstream out;
      out << aNumber;
      return out.str();
    }
    std::string operator()(bool aFlag) const
    {
      return aFlag ? "true" : "false";
    }
    std::string operator()(const SettingUnused&) const { return "a date"; }
  };
  return std::visit(Describer{}, aValue.data);
}

} // namespace firefly
