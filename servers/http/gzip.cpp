#include "servers/http/gzip.h"

#include <restinio/transforms/zlib.hpp>

namespace firefly {

namespace {

// Routing tables repeat themselves so much that higher levels gain little.
constexpr int kLevel = 1;

} // namespace

std::string
Gzip(std::string_view aBytes)
{
  return restinio::transforms::zlib::gzip_compress(
    restinio::string_view_t(aBytes.data(), aBytes.size()), kLevel);
}

bool
AcceptsGzip(const HttpHeaders& aHeaders)
{
  const auto value = FindHeader(aHeaders, "Accept-Encoding");
  return value.find("gzip") != std::string_view::npos &&
         value.find("gzip;q=0") == std::string_view::npos;
}

} // namespace firefly
