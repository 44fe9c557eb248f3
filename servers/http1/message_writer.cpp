#include "servers/http1/message_writer.h"

#include <algorithm>
#include <array>
#include <cstdio>

namespace firefly {

namespace {

// Hop-by-hop headers by RFC 9110, section 7.6.1, the headers for authentication
// at a proxy (section 11.7), the headers for message framing by RFC 9112,
// section 6, and Expect, which the server of the connection answers itself.
constexpr std::array<std::string_view, 11> kHopByHopHeaders{
  "Connection",
  "Keep-Alive",
  "Proxy-Connection",
  "Proxy-Authenticate",
  "Proxy-Authorization",
  "TE",
  "Trailer",
  "Transfer-Encoding",
  "Upgrade",
  "Content-Length",
  "Expect"
};

char
ToLower(char aChar)
{
  return aChar >= 'A' && aChar <= 'Z' ? static_cast<char>(aChar - 'A' + 'a')
                                      : aChar;
}

void
AppendHeaders(std::string& aHead, const HttpHeaders& aHeaders)
{
  for (const auto& it : aHeaders) {
    aHead.append(it.name).append(": ").append(it.value).append("\r\n");
  }
}

void
AppendContentLength(std::string& aHead, std::uint64_t aBytes)
{
  aHead.append("Content-Length: ")
    .append(std::to_string(aBytes))
    .append("\r\n");
}

std::string_view
Trim(std::string_view aText)
{
  const auto first = aText.find_first_not_of(" \t");
  if (first == std::string_view::npos) {
    return {};
  }
  return aText.substr(first, aText.find_last_not_of(" \t") - first + 1);
}

// Whether the comma-separated list contains the header name.
bool
ListContains(std::string_view aList, std::string_view aName)
{
  while (!aList.empty()) {
    const auto comma = aList.find(',');
    if (SameHeaderName(Trim(aList.substr(0, comma)), aName)) {
      return true;
    }
    if (comma == std::string_view::npos) {
      break;
    }
    aList.remove_prefix(comma + 1);
  }
  return false;
}

} // namespace

bool
SameHeaderName(std::string_view aLeft, std::string_view aRight)
{
  return std::ranges::equal(aLeft, aRight, {}, ToLower, ToLower);
}

bool
IsHopByHopHeader(const HttpHeaders& aHeaders, std::string_view aName)
{
  const bool known = std::ranges::any_of(kHopByHopHeaders, [&](auto aKnown) {
    return SameHeaderName(aKnown, aName);
  });
  if (known) {
    return true;
  }
  return std::ranges::any_of(aHeaders, [&](const HttpHeader& aHeader) {
    return SameHeaderName(aHeader.name, "Connection") &&
           ListContains(aHeader.value, aName);
  });
}

std::string
ComposeResponseHead(int aStatus,
                    std::string_view aReason,
                    const HttpHeaders& aHeaders,
                    const ResponseFraming& aFraming)
{
  std::string head = "HTTP/1.1 " + std::to_string(aStatus) + ' ';
  head.append(aReason).append("\r\n");
  AppendHeaders(head, aHeaders);
  if (aFraming.bodyBytes) {
    AppendContentLength(head, *aFraming.bodyBytes);
  } else {
    head.append("Transfer-Encoding: chunked\r\n");
  }
  if (aFraming.close) {
    head.append("Connection: close\r\n");
  }
  return head.append("\r\n");
}

std::string
ComposeChunk(std::string_view aBytes)
{
  if (aBytes.empty()) {
    return {};
  }
  std::array<char, 20> size{};
  const int n =
    std::snprintf(size.data(), size.size(), "%zx\r\n", aBytes.size());
  std::string chunk(size.data(), static_cast<std::size_t>(n));
  return chunk.append(aBytes).append("\r\n");
}

std::string_view
LastChunk()
{
  return "0\r\n\r\n";
}

std::string
ComposeRequestHead(std::string_view aMethod,
                   std::string_view aTarget,
                   const HttpHeaders& aHeaders,
                   std::optional<std::uint64_t> aBodyBytes)
{
  std::string head(aMethod);
  head.append(" ").append(aTarget).append(" HTTP/1.1\r\n");
  AppendHeaders(head, aHeaders);
  if (aBodyBytes) {
    AppendContentLength(head, *aBodyBytes);
  }
  return head.append("\r\n");
}

} // namespace firefly
