#include "servers/control/control.h"

#include <array>
#include <cctype>

namespace firefly {

namespace {

std::string
UrlOf(const std::string& aAddress, std::uint16_t aPort)
{
  const bool isIpv6 = aAddress.find(':') != std::string::npos;
  const std::string host = isIpv6 ? '[' + aAddress + ']' : aAddress;
  return "http://" + host + ':' + std::to_string(aPort);
}

} // namespace

ControlTargets
ControlTargetsOf(const Settings& aSettings)
{
  ControlTargets targets;
  for (const auto& it : aSettings.peers) {
    targets.entries.push_back(UrlOf(it.address, it.entryAdminPort));
    targets.stewards.push_back(UrlOf(it.address, it.stewardAdminPort));
  }
  return targets;
}

QueryResults
QueryAll(Fetcher& aFetcher,
         const std::vector<std::string>& aUrls,
         const std::string& aPath)
{
  std::vector<HttpCall> calls;
  for (const auto& it : aUrls) {
    HttpCall call;
    call.url = it + aPath;
    call.totalTimeout = std::chrono::seconds(5);
    calls.push_back(std::move(call));
  }
  auto results = aFetcher.FetchAll(std::move(calls));
  QueryResults answers;
  for (std::size_t n = 0; n < results.size(); ++n) {
    if (results[n]) {
      answers.answers.push_back({ aUrls[n], std::move(*results[n]) });
    } else {
      answers.failures.push_back({ aUrls[n], Describe(results[n].error()) });
    }
  }
  return answers;
}

void
PrintFailures(std::ostream& aErr, const std::vector<ProcessFailure>& aFailures)
{
  for (const auto& it : aFailures) {
    aErr << "away: " << it.url << ": " << it.error << '\n';
  }
}

std::string
Describe(const HttpError& aError)
{
  const std::string detail =
    aError.message.empty() ? "" : " (" + aError.message + ')';
  switch (aError.kind) {
    case HttpErrorKind::kNotSent:
      return "can't be reached" + detail;
    case HttpErrorKind::kTimeout:
      return "no answer in time" + detail;
    case HttpErrorKind::kConnectionLost:
      return "the connection was lost before the answer was complete" + detail;
    case HttpErrorKind::kTooLarge:
      return "the answer is too large" + detail;
    case HttpErrorKind::kCancelled:
      break;
  }
  return "cancelled" + detail;
}

std::string
PercentEncode(const std::string& aText)
{
  constexpr std::string_view kDigits = "0123456789ABCDEF";
  constexpr std::string_view kUnreserved = "-._~";
  std::string encoded;
  for (const char it : aText) {
    const auto byte = static_cast<unsigned char>(it);
    const bool isAlphanumeric = byte < 0x80 && std::isalnum(byte) != 0;
    if (isAlphanumeric || kUnreserved.find(it) != std::string_view::npos) {
      encoded += it;
      continue;
    }
    encoded += '%';
    encoded += kDigits[byte >> 4U];
    encoded += kDigits[byte & 0xfU];
  }
  return encoded;
}

} // namespace firefly
