#include "servers/http/http_message.h"

#include <CppUTest/TestHarness.h>

using firefly::FindHeader;
using firefly::HttpRequest;
using firefly::SplitPath;

TEST_GROUP(HttpMessageTest){};

TEST(HttpMessageTest, HeaderNamesAreCaseInsensitive)
{
  CHECK(FindHeader({ { "X-Request-Id", "7" } }, "x-request-ID") == "7");
  CHECK(FindHeader({ { "X-Request-Id", "7" } }, "x-request").empty());
}

TEST(HttpMessageTest, QueryValuesAreDecoded)
{
  const HttpRequest request{ .method = "GET",
                             .path = "/",
                             .query = "base=3&name=a%20b&empty=",
                             .headers = {},
                             .body = {} };
  CHECK(request.QueryValue("base") == "3");
  CHECK(request.QueryValue("name") == "a b");
  CHECK(request.QueryValue("empty").empty());
  CHECK(request.QueryValue("other").empty());
}

TEST(HttpMessageTest, PathIsSplitBeforeSegmentsAreDecoded)
{
  const auto parts = SplitPath("//services/a%2Fb/%zz/");
  LONGS_EQUAL(3, parts.size());
  CHECK(parts[0] == "services");
  CHECK(parts[1] == "a/b");
  CHECK(parts[2] == "%zz");
}
