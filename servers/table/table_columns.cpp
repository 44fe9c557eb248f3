#include "servers/table/table_columns.h"

#include <algorithm>
#include <charconv>

#include "servers/settings/setting_range.h"

namespace firefly {

namespace {

constexpr SettingRange<double> kWeightRange{ 0, 1'000 };
constexpr SettingRange<std::uint32_t> kConcurrentRange{ 1, 1'000'000 };
constexpr SettingRange<double> kRateRange{ 0.001, 1e6 };
constexpr SettingRange<double> kWorthRange{ 0, 1e9 };
constexpr SettingRange<std::uint32_t> kMillisRange{ 1, 3'600'000 };
constexpr std::size_t kMaxNameBytes = 128;

constexpr std::string_view kNameAllowed =
  "must be \"*\" or 1 to 128 printable characters that start with a letter or "
  "a digit";
constexpr std::string_view kWeightAllowed = "must be a number from 0 to 1000";
constexpr std::string_view kConcurrentAllowed =
  "must be empty or a whole number from 1 to 1000000";
constexpr std::string_view kRateAllowed =
  "must be empty or a number from 0.001 to 1000000";
constexpr std::string_view kWorthAllowed =
  "must be empty or a number from 0 to 1000000000";
constexpr std::string_view kMillisAllowed =
  "must be empty or a whole number from 1 to 3600000";

// Accepts "*" and names that start with a letter, a digit or a non-ASCII
// character. A name must not start with =, +, - or @, since a spreadsheet would
// evaluate such a cell as a formula.
bool
IsValidName(const std::string& aText)
{
  if (aText.empty() || aText.size() > kMaxNameBytes) {
    return false;
  }
  const auto first = static_cast<unsigned char>(aText.front());
  const bool startsValid = std::isalnum(first) != 0 || first >= 0x80;
  const bool isPrintable = std::ranges::none_of(aText, [](char aChar) {
    const auto byte = static_cast<unsigned char>(aChar);
    return byte < 0x20 || byte == 0x7f;
  });
  return (startsValid || aText == "*") && isPrintable;
}

template<typename T>
std::optional<T>
ParseNumber(const std::string& aText, SettingRange<T> aRange)
{
  T number{};
  const char* end = aText.data() + aText.size();
  const auto [ptr, ec] = std::from_chars(aText.data(), end, number);
  // NaN fails both comparisons and is therefore rejected.
  const bool isWithin = number >= aRange.min && number <= aRange.max;
  if (ec != std::errc{} || ptr != end || !isWithin) {
    return std::nullopt;
  }
  return number;
}

std::string
FormatNumber(double aNumber)
{
  std::array<char, 64> buf{};
  const auto end =
    std::to_chars(buf.data(), buf.data() + buf.size(), aNumber).ptr;
  return { buf.data(), end };
}

std::string
WriteWeight(const TableRow& aRow)
{
  return FormatNumber(aRow.weight);
}

std::string
WriteConcurrent(const TableRow& aRow)
{
  return aRow.maxConcurrent ? std::to_string(*aRow.maxConcurrent) : "";
}

std::string
WriteRate(const TableRow& aRow)
{
  return aRow.ratePerSecond ? FormatNumber(*aRow.ratePerSecond) : "";
}

std::string
WriteWorth(const TableRow& aRow)
{
  return aRow.worth ? FormatNumber(*aRow.worth) : "";
}

std::string
WriteLateAfter(const TableRow& aRow)
{
  if (!aRow.lateAfter) {
    return "";
  }
  return std::to_string(
    std::chrono::duration_cast<std::chrono::milliseconds>(*aRow.lateAfter)
      .count());
}

template<typename Id>
std::string_view
ReadName(const std::string& aText, Id& aId)
{
  aId = Id(aText);
  return IsValidName(aText) ? "" : kNameAllowed;
}

// Reads a cell that may be empty.
template<typename T>
std::string_view
ReadOptional(const std::string& aText,
             std::optional<T>& aValue,
             SettingRange<T> aRange,
             std::string_view aAllowed)
{
  if (aText.empty()) {
    aValue.reset();
    return "";
  }
  aValue = ParseNumber<T>(aText, aRange);
  return aValue ? "" : aAllowed;
}

std::string_view
ReadWeight(const std::string& aText, TableRow& aRow)
{
  const auto weight = ParseNumber(aText, kWeightRange);
  aRow.weight = weight.value_or(0);
  return weight ? "" : kWeightAllowed;
}

std::string_view
ReadLateAfter(const std::string& aText, TableRow& aRow)
{
  std::optional<std::uint32_t> millis;
  const auto allowed =
    ReadOptional(aText, millis, kMillisRange, kMillisAllowed);
  aRow.lateAfter.reset();
  if (millis) {
    aRow.lateAfter = std::chrono::milliseconds(*millis);
  }
  return allowed;
}

} // namespace

const std::array<TableColumn, 8>&
TableColumns()
{
  static const std::array<TableColumn, 8> kColumns{ {
    { .name = "service",
      .write = [](const TableRow& aRow) { return aRow.service.Value(); },
      .read = [](const std::string& aText,
                 TableRow& aRow) { return ReadName(aText, aRow.service); } },
    { .name = "request_type",
      .write = [](const TableRow& aRow) { return aRow.requestType.Value(); },
      .read =
        [](const std::string& aText, TableRow& aRow) {
          return ReadName(aText, aRow.requestType);
        } },
    { .name = "customer",
      .write = [](const TableRow& aRow) { return aRow.customer.Value(); },
      .read = [](const std::string& aText,
                 TableRow& aRow) { return ReadName(aText, aRow.customer); } },
    { .name = "weight", .write = WriteWeight, .read = ReadWeight },
    { .name = "max_concurrent",
      .write = WriteConcurrent,
      .read =
        [](const std::string& aText, TableRow& aRow) {
          return ReadOptional(
            aText, aRow.maxConcurrent, kConcurrentRange, kConcurrentAllowed);
        } },
    { .name = "rate_per_second",
      .write = WriteRate,
      .read =
        [](const std::string& aText, TableRow& aRow) {
          return ReadOptional(
            aText, aRow.ratePerSecond, kRateRange, kRateAllowed);
        } },
    { .name = "worth",
      .write = WriteWorth,
      .read =
        [](const std::string& aText, TableRow& aRow) {
          return ReadOptional(aText, aRow.worth, kWorthRange, kWorthAllowed);
        } },
    { .name = "late_after_ms", .write = WriteLateAfter, .read = ReadLateAfter },
  } };
  return kColumns;
}

std::vector<std::string>
CellsOf(const TableRow& aRow)
{
  std::vector<std::string> cells;
  for (const auto& it : TableColumns()) {
    cells.push_back(it.write(aRow));
  }
  return cells;
}

} // namespace firefly
