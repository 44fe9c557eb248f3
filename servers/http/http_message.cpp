#include "servers/http/http_message.h"

#include <algorithm>
#include <cctype>

namespace firefly {

namespace {

bool
EqualIgnoringCase(std::string_view aLeft, std::string_view aRight)
{
  const auto same = [](unsigned char aOne, unsigned char aTwo) {
    return std::tolower(aOne) == std::tolower(aTwo);
  };
  return aLeft.size() == aRight.size() &&
         std::equal(aLeft.begin(), aLeft.end(), aRight.begin(), same);
}

int
HexDigit(char aDigit)
{
  if (aDigit >= '0' && aDigit <= '9') {
    return aDigit - '0';
  }
  const auto lower = std::tolower(static_cast<unsigned char>(aDigit));
  if (lower >= 'a' && lower <= 'f') {
    return lower - 'a' + 10;
  }
  return -1;
}

// Decodes percent escapes; malformed ones are kept unchanged.
std::string
DecodePercent(std::string_view aText)
{
  std::string out;
  out.reserve(aText.size());
  for (std::size_t i = 0; i < aText.size(); ++i) {
    const bool escaped = aText[i] == '%' && i + 2 < aText.size() &&
                         HexDigit(aText[i + 1]) >= 0 &&
                         HexDigit(aText[i + 2]) >= 0;
    if (!escaped) {
      out += aText[i];
      continue;
    }
    out +=
      static_cast<char>(HexDigit(aText[i + 1]) * 16 + HexDigit(aText[i + 2]));
    i += 2;
  }
  return out;
}

} // namespace

std::string_view
FindHeader(const HttpHeaders& aHeaders, std::string_view aName)
{
  for (const auto& it : aHeaders) {
    if (EqualIgnoringCase(it.name, aName)) {
      return it.value;
    }
  }
  return {};
}

std::string
HttpRequest::QueryValue(std::string_view aName) const
{
  std::string_view rest = query;
  while (!rest.empty()) {
    const auto pair = rest.substr(0, rest.find('&'));
    rest.remove_prefix(std::min(rest.size(), pair.size() + 1));
    const auto name = pair.substr(0, pair.find('='));
    if (name == aName && name.size() < pair.size()) {
      return DecodePercent(pair.substr(name.size() + 1));
    }
  }
  return {};
}

std::vector<std::string>
SplitPath(std::string_view aPath)
{
  std::vector<std::string> parts;
  while (!aPath.empty()) {
    const auto part = aPath.substr(0, aPath.find('/'));
    aPath.remove_prefix(std::min(aPath.size(), part.size() + 1));
    if (!part.empty()) {
      parts.push_back(DecodePercent(part));
    }
  }
  return parts;
}

} // namespace firefly
