#include "servers/settings/section_reader.h"

#include <algorithm>
#include <arpa/inet.h>
#include <charconv>
#include <sstream>

namespace firefly {

namespace {

const SettingTable kEmptyTable;

std::string
FormatRange(SettingRange<double> aRange)
{
  std::ostringstream out;
  out << "a number from " << aRange.min << " to " << aRange.max;
  return out.str();
}

std::string
FormatRange(SettingRange<std::int64_t> aRange)
{
  return "a whole number from " + std::to_string(aRange.min) + " to " +
         std::to_string(aRange.max);
}

bool
IsAddress(const std::string& aText)
{
  in6_addr buf{};
  return inet_pton(AF_INET, aText.c_str(), &buf) == 1 ||
         inet_pton(AF_INET6, aText.c_str(), &buf) == 1;
}

bool
IsEndpoint(const std::string& aText)
{
  constexpr int kMaxPort = 65535;
  const auto colon = aText.rfind(':');
  if (colon == std::string::npos || !IsAddress(aText.substr(0, colon))) {
    return false;
  }
  int port = 0;
  const char* end = aText.data() + aText.size();
  const auto parsed = std::from_chars(aText.data() + colon + 1, end, port);
  return parsed.ec == std::errc() && parsed.ptr == end && port > 0 &&
         port <= kMaxPort;
}

bool
IsUrl(const std::string& aText)
{
  const bool isHttp = aText.starts_with("http://") && aText.size() > 7;
  const bool isHttps = aText.starts_with("https://") && aText.size() > 8;
  return (isHttp || isHttps) &&
         aText.find_first_of(" \t?#") == std::string::npos;
}

bool
IsControl(char aChar)
{
  const auto byte = static_cast<unsigned char>(aChar);
  return byte < 0x20 || byte == 0x7f;
}

} // namespace

void
SettingProblems::Add(unsigned aLine, const std::string& aText)
{
  const std::string place = aLine == 0 ? "" : ":" + std::to_string(aLine);
  std::string line = mFile + place + ": " + aText;
  // A quoted value may contain line breaks, but each error must stay one line.
  std::ranges::replace_if(line, IsControl, '?');
  mLines.push_back(std::move(line));
}

SectionReader::SectionReader(const SettingValue* aValue,
                             std::string aName,
                             SettingProblems& aProblems)
  : mTable(&kEmptyTable)
  , mLine(aValue == nullptr ? 0 : aValue->line)
  , mName(std::move(aName))
  , mProblems(&aProblems)
{
  if (aValue == nullptr) {
    return;
  }
  const auto* table = std::get_if<SettingTable>(&aValue->data);
  if (table == nullptr) {
    mProblems->Add(mLine, mName + ": must be a table");
    return;
  }
  mTable = table;
}

std::string
SectionReader::Text(const std::string& aKey,
                    const std::optional<std::string>& aDefault)
{
  const std::string allowed = "a non-empty string";
  const auto* value = Find(aKey, !aDefault.has_value(), allowed);
  if (value == nullptr) {
    return aDefault.value_or("");
  }
  const auto* text = std::get_if<std::string>(&value->data);
  if (text == nullptr || text->empty()) {
    ReportInvalid(aKey, *value, allowed);
    return aDefault.value_or("");
  }
  return *text;
}

std::int64_t
SectionReader::Integer(const std::string& aKey,
                       SettingRange<std::int64_t> aRange,
                       std::optional<std::int64_t> aDefault)
{
  const std::int64_t fallback = aDefault.value_or(aRange.min);
  const std::string allowed = FormatRange(aRange);
  const auto* value = Find(aKey, !aDefault.has_value(), allowed);
  if (value == nullptr) {
    return fallback;
  }
  const auto* number = std::get_if<std::int64_t>(&value->data);
  if (number == nullptr || *number < aRange.min || *number > aRange.max) {
    ReportInvalid(aKey, *value, allowed);
    return fallback;
  }
  return *number;
}

double
SectionReader::Real(const std::string& aKey,
                    SettingRange<double> aRange,
                    std::optional<double> aDefault)
{
  const double fallback = aDefault.value_or(aRange.min);
  const std::string allowed = FormatRange(aRange);
  const auto* value = Find(aKey, !aDefault.has_value(), allowed);
  if (value == nullptr) {
    return fallback;
  }
  std::optional<double> number;
  if (const auto* real = std::get_if<double>(&value->data)) {
    number = *real;
  } else if (const auto* whole = std::get_if<std::int64_t>(&value->data)) {
    number = static_cast<double>(*whole);
  }
  // NaN fails every comparison, so the range check is negated as a whole.
  if (!number || !(*number >= aRange.min && *number <= aRange.max)) {
    ReportInvalid(aKey, *value, allowed);
    return fallback;
  }
  return *number;
}

Duration
SectionReader::Millis(const std::string& aKey,
                      SettingRange<std::int64_t> aRange,
                      std::optional<std::int64_t> aDefault)
{
  return std::chrono::milliseconds(Integer(aKey, aRange, aDefault));
}

bool
SectionReader::Flag(const std::string& aKey, std::optional<bool> aDefault)
{
  const std::string allowed = "true or false";
  const auto* value = Find(aKey, !aDefault.has_value(), allowed);
  if (value == nullptr) {
    return aDefault.value_or(false);
  }
  const auto* flag = std::get_if<bool>(&value->data);
  if (flag == nullptr) {
    ReportInvalid(aKey, *value, allowed);
    return aDefault.value_or(false);
  }
  return *flag;
}

std::string
SectionReader::Address(const std::string& aKey)
{
  return ValidatedText(aKey, "an IP address such as \"10.1.0.5\"", IsAddress);
}

std::string
SectionReader::Endpoint(const std::string& aKey)
{
  return ValidatedText(
    aKey, "an address such as \"10.1.0.5:8080\"", IsEndpoint);
}

std::string
SectionReader::Url(const std::string& aKey)
{
  auto text =
    ValidatedText(aKey, "a URL such as \"http://10.1.0.9:7000\"", IsUrl);
  if (text.ends_with('/')) {
    text.pop_back();
  }
  return text;
}

std::string
SectionReader::ValidatedText(const std::string& aKey,
                             const std::string& aAllowed,
                             bool (*aIsValid)(const std::string&))
{
  const auto* value = Find(aKey, true, aAllowed);
  if (value == nullptr) {
    return "";
  }
  const auto* text = std::get_if<std::string>(&value->data);
  if (text == nullptr || !aIsValid(*text)) {
    ReportInvalid(aKey, *value, aAllowed);
    return "";
  }
  return *text;
}

std::vector<std::string>
SectionReader::Texts(const std::string& aKey)
{
  const std::string allowed = "an array of non-empty strings";
  const auto* value = Find(aKey, false, allowed);
  if (value == nullptr) {
    return {};
  }
  const auto* array = std::get_if<SettingArray>(&value->data);
  if (array == nullptr) {
    ReportInvalid(aKey, *value, allowed);
    return {};
  }
  std::vector<std::string> texts;
  for (const auto& it : *array) {
    const auto* text = std::get_if<std::string>(&it.data);
    if (text == nullptr || text->empty()) {
      ReportInvalid(aKey, it, allowed);
      return {};
    }
    texts.push_back(*text);
  }
  return texts;
}

SectionReader
SectionReader::Section(const std::string& aKey)
{
  mKnownKeys.insert(aKey);
  const auto found = mTable->find(aKey);
  const auto* value = found == mTable->end() ? nullptr : &found->second;
  return { value, '[' + aKey + ']', *mProblems };
}

std::vector<SectionReader>
SectionReader::Sections(const std::string& aKey)
{
  const std::string allowed = "an array of tables";
  const auto* value = Find(aKey, false, allowed);
  if (value == nullptr) {
    return {};
  }
  const auto* array = std::get_if<SettingArray>(&value->data);
  if (array == nullptr) {
    ReportInvalid(aKey, *value, allowed);
    return {};
  }
  const std::string name = QualifiedName("[[") + aKey + "]]";
  std::vector<SectionReader> sections;
  for (const auto& it : *array) {
    sections.emplace_back(&it, name, *mProblems);
  }
  return sections;
}

bool
SectionReader::Has(const std::string& aKey) const
{
  return mTable->contains(aKey);
}

void
SectionReader::ReportUnknownKeys()
{
  std::string allowed;
  for (const auto& it : mKnownKeys) {
    allowed += (allowed.empty() ? "" : ", ") + it;
  }
  for (const auto& [key, value] : *mTable) {
    if (!mKnownKeys.contains(key)) {
      mProblems->Add(value.line,
                     QualifiedName(key) + ": unknown key; allowed are " +
                       allowed);
    }
  }
}

const SettingValue*
SectionReader::Find(const std::string& aKey,
                    bool aRequired,
                    const std::string& aAllowed)
{
  mKnownKeys.insert(aKey);
  const auto found = mTable->find(aKey);
  if (found != mTable->end()) {
    return &found->second;
  }
  if (aRequired) {
    mProblems->Add(mLine,
                   QualifiedName(aKey) + ": missing; must be " + aAllowed);
  }
  return nullptr;
}

void
SectionReader::ReportInvalid(const std::string& aKey,
                             const SettingValue& aValue,
                             const std::string& aAllowed)
{
  mProblems->Add(aValue.line,
                 QualifiedName(aKey) + ": " + DescribeSetting(aValue) +
                   " is not allowed; must be " + aAllowed);
}

std::string
SectionReader::ChoiceText(const std::string& aKey,
                          const std::string& aAllowed,
                          bool aRequired)
{
  const auto* value = Find(aKey, aRequired, aAllowed);
  if (value == nullptr) {
    return "";
  }
  const auto* text = std::get_if<std::string>(&value->data);
  if (text == nullptr || text->empty()) {
    ReportInvalid(aKey, *value, aAllowed);
    return "";
  }
  return *text;
}

std::string
SectionReader::QualifiedName(const std::string& aKey) const
{
  return mName.empty() ? aKey : mName + " " + aKey;
}

} // namespace firefly
