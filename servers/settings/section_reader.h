#pragma once

// Reads one TOML table of the settings and validates its values. Each error
// becomes one line that names the file, the key and the allowed values.

#include <array>
#include <cstdint>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include "core/clock.h"
#include "servers/settings/setting_range.h"
#include "servers/settings/setting_value.h"

namespace firefly {

// Collects the errors of one settings file.
class SettingProblems
{
public:
  explicit SettingProblems(std::string aFile)
    : mFile(std::move(aFile))
  {
  }

  // Adds an error. Line 0 means that the error concerns the whole file.
  void Add(unsigned aLine, const std::string& aText);

  [[nodiscard]] const std::vector<std::string>& Lines() const { return mLines; }

private:
  std::string mFile;
  std::vector<std::string> mLines;
};

// A string value of the settings and the enumerator that it selects.
template<typename E>
struct SettingChoice
{
  std::string_view name;
  E value;
};

// Reads the keys of one table. Reading a key marks it as known;
// ReportUnknownKeys reports every key of the table that was not read. A key
// without a default is required. A function that reports an error returns the
// default or, without one, a substitute, so that the remaining keys can be
// checked as well.
class SectionReader
{
public:
  // The value must outlive the reader. Null reads as an empty table; a value of
  // another type than a table is reported as an error.
  SectionReader(const SettingValue* aValue,
                std::string aName,
                SettingProblems& aProblems);

  // A non-empty string.
  std::string Text(const std::string& aKey,
                   const std::optional<std::string>& aDefault = {});

  // An integer within the range.
  std::int64_t Integer(const std::string& aKey,
                       SettingRange<std::int64_t> aRange,
                       std::optional<std::int64_t> aDefault = {});

  // A floating-point number within the range; an integer is accepted as well.
  double Real(const std::string& aKey,
              SettingRange<double> aRange,
              std::optional<double> aDefault = {});

  // A duration, written as an integer number of milliseconds.
  Duration Millis(const std::string& aKey,
                  SettingRange<std::int64_t> aRange,
                  std::optional<std::int64_t> aDefault = {});

  bool Flag(const std::string& aKey, std::optional<bool> aDefault = {});

  // An IPv4 or IPv6 address.
  std::string Address(const std::string& aKey);

  // An IP address and a port, such as "10.1.0.5:8080".
  std::string Endpoint(const std::string& aKey);

  // An http or https URL. A trailing slash is removed.
  std::string Url(const std::string& aKey);

  // An array of strings; empty when the key is absent.
  std::vector<std::string> Texts(const std::string& aKey);

  template<typename E, std::size_t N>
  E Choice(const std::string& aKey,
           const std::array<SettingChoice<E>, N>& aChoices,
           std::optional<E> aDefault = {});

  // The sub-table of that key; an absent one reads as an empty table.
  SectionReader Section(const std::string& aKey);

  // The array of tables of that key; an absent one reads as an empty array.
  std::vector<SectionReader> Sections(const std::string& aKey);

  // True if the table contains the key. Does not mark the key as known.
  [[nodiscard]] bool Has(const std::string& aKey) const;

  // Reports each key that was not read as unknown.
  void ReportUnknownKeys();

private:
  const SettingValue* Find(const std::string& aKey,
                           bool aRequired,
                           const std::string& aAllowed);
  void ReportInvalid(const std::string& aKey,
                     const SettingValue& aValue,
                     const std::string& aAllowed);
  // The string if it passes the check. Otherwise, or if it is missing, reports
  // an error and returns an empty string.
  std::string ValidatedText(const std::string& aKey,
                            const std::string& aAllowed,
                            bool (*aIsValid)(const std::string&));
  std::string ChoiceText(const std::string& aKey,
                         const std::string& aAllowed,
                         bool aRequired);
  [[nodiscard]] std::string QualifiedName(const std::string& aKey) const;

  const SettingTable* mTable;
  unsigned mLine;
  std::string mName;
  SettingProblems* mProblems;
  std::set<std::string> mKnownKeys;
};

template<typename E, std::size_t N>
E
SectionReader::Choice(const std::string& aKey,
                      const std::array<SettingChoice<E>, N>& aChoices,
                      std::optional<E> aDefault)
{
  std::string allowed = "one of";
  for (const auto& it : aChoices) {
    allowed += " \"" + std::string(it.name) + '"';
  }
  const E fallback = aDefault.value_or(aChoices.front().value);
  const std::string name = ChoiceText(aKey, allowed, !aDefault.has_value());
  for (const auto& it : aChoices) {
    if (it.name == name) {
      return it.value;
    }
  }
  if (!name.empty()) {
    ReportInvalid(aKey, mTable->at(aKey), allowed);
  }
  return fallback;
}

} // namespace firefly
