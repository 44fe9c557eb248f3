#pragma once

// The HTTP messages of the servers and clients of the system.

#include <string>
#include <string_view>
#include <vector>

namespace firefly {

struct HttpHeader
{
  std::string name;
  std::string value;
};

using HttpHeaders = std::vector<HttpHeader>;

// The value of the first header with that name, ignoring case; empty if absent.
std::string_view
FindHeader(const HttpHeaders& aHeaders, std::string_view aName);

// A complete request as received by a server.
struct HttpRequest
{
  std::string method;
  std::string path;    // without the query, still percent-encoded
  std::string query{}; // without the question mark
  HttpHeaders headers{};
  std::string body{};

  // The decoded value of a query parameter; empty if absent.
  [[nodiscard]] std::string QueryValue(std::string_view aName) const;
};

// A response that is sent in one piece.
struct HttpResponse
{
  int status = 200;
  std::string contentType = "application/json";
  HttpHeaders headers{};
  std::string body{};
};

// Splits a path into percent-decoded, non-empty segments: "/a/b%20c" gives "a"
// and "b c".
std::vector<std::string>
SplitPath(std::string_view aPath);

} // namespace firefly
