#pragma once

// Reads one table of the settings with its checks: each fault becomes one line
// that names the file, the key and what is allowed.

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

// Collects the faults of one file.
class SettingProblems
{
public:
  explicit SettingProblems(std::string aFile)
    : mFile(std::move(aFile))
  {
  }

  // Adds a fault; line 0 stands for the file as a whole.
  void Add(unsigned aLine, const std::string& aText);

  [[nodiscard]] const std::vector<std::string>& Lines() const { return mLines; }

private:
  std::string mFile;
  std::vector<std::string> mLines;
};

// A word of the settings and the enumerator it stands for.
template<typename E>
struct SettingChoice
{
  std::string_view word;
  E value;
};

// A cursor over one table. Reading a key marks it as known; Finish reports all
// keys that were never asked for. A key without a default is required.
class SectionReader
{
public:
  // The value must outlive the reader. A value that is no table is a fault.
  SectionReader(const SettingValue* aValue,
                std::string aName,
                SettingProblems& aProblems);

  // A non-empty string.
  std::string Text(const std::string& aKey,
                   const std::optional<std::string>& aDefault = {});

  // A whole number within the range.
  std::int64_t Integer(const std::string& aKey,
                       SettingRange<std::int64_t> aRange,
                       std::optional<std::int64_t> aDefault = {});

  // A number within the range.
  double Real(const std::string& aKey,
              SettingRange<double> aRange,
              std::optional<double> aDefault = {});

  // A time, written as a whole number of milliseconds.
  Duration Millis(const std::string& aKey,
                  SettingRange<std::int64_t> aRange,
                  std::optional<std::int64_t> aDefault = {});

  bool Flag(const std::string& aKey, std::optional<bool> aDefault = {});

  // An address by IP number.
  std::string Address(const std::string& aKey);

  // An IP number and a port, such as "10.1.0.5:8080".
  std::string Endpoint(const std::string& aKey);

  // An http or https URL; a slash at its end is dropped.
  std::string Url(const std::string& aKey);

  // An array of strings; empty when the key is absent.
  std::vector<std::string> Texts(const std::string& aKey);

  template<typename E, std::size_t N>
  E Choice(const std::string& aKey,
           const std::array<SettingChoice<E>, N>& aChoices,
           std::optional<E> aDefault = {});

  // The table of that name; an absent one reads as empty.
  SectionReader Section(const std::string& aKey);

  // The array of tables of that name; an absent one reads as empty.
  std::vector<SectionReader> Sections(const std::string& aKey);

  // Whether the table holds the key; doesn't mark it as known.
  [[nodiscard]] bool Has(const std::string& aKey) const;

  // Reports each key that no call has asked for.
  void Finish();

private:
  const SettingValue* Find(const std::string& aKey,
                           bool aRequired,
                           const std::string& aAllowed);
  void Refuse(const std::string& aKey,
              const SettingValue& aValue,
              const std::string& aAllowed);
  // The text, or an empty one and a fault if it is missing or not right.
  std::string CheckedText(const std::string& aKey,
                          const std::string& aAllowed,
                          bool (*aIsRight)(const std::string&));
  std::string ChoiceText(const std::string& aKey,
                         const std::string& aAllowed,
                         bool aRequired);
  [[nodiscard]] std::string NameOf(const std::string& aKey) const;

  const SettingTable* mTable;
  unsigned mLine;
  std::string mName;
  SettingProblems* mProblems;
  std::set<std::string> mKnown;
};

template<typename E, std::size_t N>
E
SectionReader::Choice(const std::string& aKey,
                      const std::array<SettingChoice<E>, N>& aChoices,
                      std::optional<E> aDefault)
{
  std::string allowed = "one of";
  for (const auto& it : aChoices) {
    allowed += " \"" + std::string(it.word) + '"';
  }
  const E fallback = aDefault.value_or(aChoices.front().value);
  const std::string word = ChoiceText(aKey, allowed, !aDefault.has_value());
  for (const auto& it : aChoices) {
    if (it.word == word) {
      return it.value;
    }
  }
  if (!word.empty()) {
    Refuse(aKey, mTable->at(aKey), allowed);
  }
  return fallback;
}

} // namespace firefly
