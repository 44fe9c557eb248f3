#include "servers/http1/message_reader.h"

#include <string>

#include "core/random.h"

#include <CppUTest/TestHarness.h>

using firefly::MessageFault;
using firefly::MessageReader;
using firefly::Random;

namespace {

const std::string kPost = "POST /a/b?c HTTP/1.1\r\nHost: h\r\n";

} // namespace

TEST_GROUP(MessageReaderTest)
{
  MessageReader requests{ { .side = MessageReader::Side::kRequests,
                            .maxHeadBytes = 300,
                            .maxBodyBytes = 100 } };
  MessageReader responses{ { .side = MessageReader::Side::kResponses } };

  void CheckFault(const std::string& aBytes, MessageFault aFault)
  {
    const auto fed = requests.Feed(aBytes);
    CHECK_FALSE(fed.has_value());
    CHECK(fed.error() == aFault);
  }
};

TEST(MessageReaderTest, ReadsABodyThatComesByteByByte)
{
  const auto bytes = kPost + "Content-Length: 3\r\n\r\nabcGET";
  for (const char it : bytes) {
    if (!requests.Done()) {
      CHECK_TRUE(requests.Feed({ &it, 1 }).has_value());
    } else {
      requests.Keep({ &it, 1 });
    }
  }
  CHECK_TRUE(requests.Done());
  STRCMP_EQUAL("POST", requests.Head().method.c_str());
  STRCMP_EQUAL("/a/b?c", requests.Head().target.c_str());
  STRCMP_EQUAL("abc", requests.TakeBody().c_str());
  LONGS_EQUAL(3, requests.Buffered());
}

TEST(MessageReaderTest, ReadsTheNextMessageFromWhatIsBuffered)
{
  const auto first = kPost + "Content-Length: 1\r\n\r\nx";
  CHECK_TRUE(
    requests.Feed(first + "GET /next HTTP/1.1\r\nHost: h\r\n\r\n").has_value());
  CHECK_TRUE(requests.Done());
  requests.Next();
  CHECK_TRUE(requests.Feed({}).has_value());
  CHECK_TRUE(requests.Done());
  STRCMP_EQUAL("/next", requests.Head().target.c_str());
}

TEST(MessageReaderTest, ReadsChunks)
{
  CHECK_TRUE(requests
               .Feed(kPost + "Transfer-Encoding: chunked\r\n\r\n"
                             "2\r\nab\r\n1\r\nc\r\n0\r\n\r\n")
               .has_value());
  CHECK_TRUE(requests.Done());
  STRCMP_EQUAL("abc", requests.TakeBody().c_str());
}

TEST(MessageReaderTest, RefusesWhatCouldBeReadInTwoWays)
{
  CheckFault(kPost + "Content-Length: 1\r\nTransfer-Encoding: chunked\r\n\r\n",
             MessageFault::kMalformed);
}

TEST(MessageReaderTest, RefusesTwoLengths)
{
  CheckFault(kPost + "Content-Length: 1\r\nContent-Length: 2\r\n\r\nab",
             MessageFault::kMalformed);
}

TEST(MessageReaderTest, RefusesAnUnknownCoding)
{
  CheckFault(kPost + "Transfer-Encoding: gzip\r\n\r\n",
             MessageFault::kMalformed);
}

TEST(MessageReaderTest, RefusesAFoldedHeader)
{
  CheckFault(kPost + "X: a\r\n Content-Length: 5\r\n\r\n",
             MessageFault::kMalformed);
}

TEST(MessageReaderTest, RefusesABareLineFeed)
{
  CheckFault(kPost + "X: a\nContent-Length: 5\r\n\r\n",
             MessageFault::kMalformed);
}

TEST(MessageReaderTest, RefusesAWrongChunkSize)
{
  CheckFault(kPost + "Transfer-Encoding: chunked\r\n\r\nzz\r\nab\r\n",
             MessageFault::kMalformed);
}

TEST(MessageReaderTest, RefusesARequestWithoutAHost)
{
  CheckFault("GET / HTTP/1.1\r\n\r\n", MessageFault::kMalformed);
}

TEST(MessageReaderTest, RefusesALongHeadAndALongBody)
{
  CheckFault(kPost + "X: " + std::string(400, 'x'),
             MessageFault::kHeadTooLarge);
  MessageReader other{ { .maxBodyBytes = 10 } };
  const auto fed = other.Feed(kPost + "Content-Length: 11\r\n\r\n");
  CHECK(!fed && fed.error() == MessageFault::kBodyTooLarge);
}

TEST(MessageReaderTest, AResponseWithoutALengthEndsWithItsConnection)
{
  CHECK_TRUE(responses.Feed("HTTP/1.1 200 OK\r\n\r\nab").has_value());
  CHECK_FALSE(responses.Done());
  CHECK_TRUE(responses.Head().endsWithConnection);
  CHECK_TRUE(responses.FeedEnd().has_value());
  CHECK_TRUE(responses.Done());
}

TEST(MessageReaderTest, ACutResponseIsNotWhole)
{
  CHECK_TRUE(responses.Feed("HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nab")
               .has_value());
  CHECK_FALSE(responses.FeedEnd().has_value());
}

TEST(MessageReaderTest, SkipsAnInterimResponse)
{
  CHECK_TRUE(responses
               .Feed("HTTP/1.1 100 Continue\r\n\r\n"
                     "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
               .has_value());
  CHECK_TRUE(responses.Done());
  LONGS_EQUAL(200, responses.Head().status);
}

// Seeded, so that a failure repeats: nothing crashes, and no request that was
// damaged in its framing is read as longer than its bytes.
TEST(MessageReaderTest, SurvivesDamagedBytes)
{
  Random random(20261204);
  const auto whole = kPost + "Transfer-Encoding: chunked\r\n\r\n"
                             "2\r\nab\r\n1\r\nc\r\n0\r\n\r\n";
  for (int i = 0; i < 20000; ++i) {
    auto bytes = whole;
    for (auto n = random.Below(4) + 1; n > 0; --n) {
      bytes[random.Below(bytes.size())] = static_cast<char>(random.Below(256));
    }
    MessageReader reader{ { .side = MessageReader::Side::kRequests } };
    const auto cut = random.Below(bytes.size());
    if (reader.Feed(bytes.substr(0, cut)) && !reader.Done()) {
      (void)reader.Feed(bytes.substr(cut));
    }
    CHECK_TRUE(reader.Buffered() <= bytes.size());
    CHECK_TRUE(reader.TakeBody().size() <= bytes.size());
  }
}
