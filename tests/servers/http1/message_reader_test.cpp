#include "servers/http1/message_reader.h"

#include <string>

#include "core/random.h"

#include <CppUTest/TestHarness.h>

using firefly::MessageFault;
using firefly::MessageReader;
using firefly::Random;

namespace {

const std::string kPostStart = "POST /a/b?c HTTP/1.1\r\nHost: h\r\n";

} // namespace

TEST_GROUP(MessageReaderTest)
{
  MessageReader requests{ { .side = MessageReader::Side::kRequests,
                            .maxHeadBytes = 300,
                            .maxBodyBytes = 100 } };
  MessageReader responses{ { .side = MessageReader::Side::kResponses } };

  void CheckRejectedWith(const std::string& aBytes, MessageFault aFault)
  {
    const auto fed = requests.Feed(aBytes);
    CHECK_FALSE(fed.has_value());
    CHECK(fed.error() == aFault);
  }
};

TEST(MessageReaderTest, ReadsABodyThatArrivesByteByByte)
{
  const auto bytes = kPostStart + "Content-Length: 3\r\n\r\nabcGET";
  for (const char it : bytes) {
    if (!requests.Done()) {
      CHECK_TRUE(requests.Feed({ &it, 1 }).has_value());
    } else {
      requests.BufferBytes({ &it, 1 });
    }
  }
  CHECK_TRUE(requests.Done());
  STRCMP_EQUAL("POST", requests.Head().method.c_str());
  STRCMP_EQUAL("/a/b?c", requests.Head().target.c_str());
  STRCMP_EQUAL("abc", requests.TakeBody().c_str());
  LONGS_EQUAL(3, requests.BufferedBytes());
}

TEST(MessageReaderTest, ReadsTheNextMessageFromBufferedBytes)
{
  const auto first = kPostStart + "Content-Length: 1\r\n\r\nx";
  CHECK_TRUE(
    requests.Feed(first + "GET /next HTTP/1.1\r\nHost: h\r\n\r\n").has_value());
  CHECK_TRUE(requests.Done());
  requests.Next();
  CHECK_TRUE(requests.Feed({}).has_value());
  CHECK_TRUE(requests.Done());
  STRCMP_EQUAL("/next", requests.Head().target.c_str());
}

TEST(MessageReaderTest, ReadsAChunkedBody)
{
  CHECK_TRUE(requests
               .Feed(kPostStart + "Transfer-Encoding: chunked\r\n\r\n"
                                  "2\r\nab\r\n1\r\nc\r\n0\r\n\r\n")
               .has_value());
  CHECK_TRUE(requests.Done());
  STRCMP_EQUAL("abc", requests.TakeBody().c_str());
}

TEST(MessageReaderTest, RejectsLengthTogetherWithChunkedCoding)
{
  CheckRejectedWith(kPostStart +
                      "Content-Length: 1\r\nTransfer-Encoding: chunked\r\n\r\n",
                    MessageFault::kMalformed);
}

TEST(MessageReaderTest, RejectsTwoContentLengths)
{
  CheckRejectedWith(kPostStart +
                      "Content-Length: 1\r\nContent-Length: 2\r\n\r\nab",
                    MessageFault::kMalformed);
}

TEST(MessageReaderTest, RejectsAnUnknownTransferCoding)
{
  CheckRejectedWith(kPostStart + "Transfer-Encoding: gzip\r\n\r\n",
                    MessageFault::kMalformed);
}

TEST(MessageReaderTest, RejectsAFoldedHeader)
{
  CheckRejectedWith(kPostStart + "X: a\r\n Content-Length: 5\r\n\r\n",
                    MessageFault::kMalformed);
}

TEST(MessageReaderTest, RejectsABareLineFeed)
{
  CheckRejectedWith(kPostStart + "X: a\nContent-Length: 5\r\n\r\n",
                    MessageFault::kMalformed);
}

TEST(MessageReaderTest, RejectsAnInvalidChunkSize)
{
  CheckRejectedWith(kPostStart +
                      "Transfer-Encoding: chunked\r\n\r\nzz\r\nab\r\n",
                    MessageFault::kMalformed);
}

TEST(MessageReaderTest, RejectsARequestWithoutAHost)
{
  CheckRejectedWith("GET / HTTP/1.1\r\n\r\n", MessageFault::kMalformed);
}

TEST(MessageReaderTest, RejectsATooLongHeadAndATooLongBody)
{
  CheckRejectedWith(kPostStart + "X: " + std::string(400, 'x'),
                    MessageFault::kHeadTooLarge);
  MessageReader smallBodyReader{ { .maxBodyBytes = 10 } };
  const auto fed =
    smallBodyReader.Feed(kPostStart + "Content-Length: 11\r\n\r\n");
  CHECK(!fed && fed.error() == MessageFault::kBodyTooLarge);
}

TEST(MessageReaderTest, ResponseWithoutLengthEndsWithItsConnection)
{
  CHECK_TRUE(responses.Feed("HTTP/1.1 200 OK\r\n\r\nab").has_value());
  CHECK_FALSE(responses.Done());
  CHECK_TRUE(responses.Head().endsWithConnection);
  CHECK_TRUE(responses.FeedEof().has_value());
  CHECK_TRUE(responses.Done());
}

TEST(MessageReaderTest, TruncatedResponseIsIncomplete)
{
  CHECK_TRUE(responses.Feed("HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nab")
               .has_value());
  CHECK_FALSE(responses.FeedEof().has_value());
}

// Guards against a status that is none and reaches the caller as an answer.
TEST(MessageReaderTest, RejectsAStatusOutsideOfTheDefinedClasses)
{
  for (const auto* status :
       { "000", "001", "099", "600", "700", "999", "20", "2000", "-20", "0" }) {
    MessageReader reader{ { .side = MessageReader::Side::kResponses } };
    const auto fed = reader.Feed("HTTP/1.1 " + std::string(status) +
                                 " OK\r\nContent-Length: 0\r\n\r\n");
    CHECK_FALSE_TEXT(fed.has_value() && reader.HasHead(), status);
  }
  for (const auto* status : { "200", "299", "404", "599" }) {
    MessageReader reader{ { .side = MessageReader::Side::kResponses } };
    CHECK_TRUE_TEXT(reader
                      .Feed("HTTP/1.1 " + std::string(status) +
                            " OK\r\nContent-Length: 0\r\n\r\n")
                      .has_value(),
                    status);
    CHECK_TRUE(reader.Done());
  }
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

// A request that was damaged at random must neither crash the reader nor make
// it report more bytes than it received. The seed makes a failure reproducible.
TEST(MessageReaderTest, HandlesRandomlyDamagedRequests)
{
  Random random(20261204);
  const auto request = kPostStart + "Transfer-Encoding: chunked\r\n\r\n"
                                    "2\r\nab\r\n1\r\nc\r\n0\r\n\r\n";
  for (int i = 0; i < 20000; ++i) {
    auto bytes = request;
    for (auto n = random.Below(4) + 1; n > 0; --n) {
      bytes[random.Below(bytes.size())] = static_cast<char>(random.Below(256));
    }
    MessageReader reader{ { .side = MessageReader::Side::kRequests } };
    const auto split = random.Below(bytes.size());
    if (reader.Feed(bytes.substr(0, split)) && !reader.Done()) {
      (void)reader.Feed(bytes.substr(split));
    }
    CHECK_TRUE(reader.BufferedBytes() <= bytes.size());
    CHECK_TRUE(reader.TakeBody().size() <= bytes.size());
  }
}

namespace {

// Feeds the start and then the same bytes without end; returns whether the
// reader reported a fault before it kept as many bytes as the bound allows.
bool
EndsWithinBound(const std::string& aStart, const std::string& aEndless)
{
  constexpr std::size_t kMaxHeadBytes = 16U << 10U;
  constexpr std::size_t kMaxFedBytes = 16U << 20U;
  MessageReader reader({ .side = MessageReader::Side::kResponses,
                         .maxHeadBytes = kMaxHeadBytes,
                         .maxBodyBytes = 1U << 20U });
  bool isSound = reader.Feed(aStart).has_value();
  std::size_t fed = 0;
  while (isSound && fed < kMaxFedBytes) {
    isSound = reader.Feed(aEndless).has_value();
    fed += aEndless.size();
    if (reader.BufferedBytes() > 2 * kMaxHeadBytes) {
      return false;
    }
    reader.TakeBody();
  }
  return !isSound;
}

} // namespace

// Bytes that are no answer may come without end.
TEST(MessageReaderTest, EndlessBytesAreBoundedInEachPartOfAnAnswer)
{
  const std::string chunked =
    "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
  CHECK_TRUE(EndsWithinBound("HTTP/1.1 200 ", std::string(1000, 'x')));
  CHECK_TRUE(EndsWithinBound("HTTP/1.1 200 OK\r\n", "a: b\r\n"));
  CHECK_TRUE(EndsWithinBound("", "HTTP/1.1 100 Continue\r\n\r\n"));
  CHECK_TRUE(EndsWithinBound(chunked, std::string(1000, '0')));
  CHECK_TRUE(EndsWithinBound(chunked + "1;", std::string(1000, 'x')));
  CHECK_TRUE(EndsWithinBound(chunked, "1;x=y\r\na\r\n"));
  CHECK_TRUE(EndsWithinBound(chunked + "0\r\n", "a: b\r\n"));
  CHECK_TRUE(EndsWithinBound(chunked + "0\r\na", std::string(1000, 'x')));
  CHECK_TRUE(
    EndsWithinBound("HTTP/1.1 200 OK\r\n\r\n", std::string(1000, 'x')));
}
