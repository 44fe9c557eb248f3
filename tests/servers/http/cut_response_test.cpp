// Servers that close or reset a connection within a response. The client
// reports a response only if it is whole.

#include <optional>
#include <string>

#include "servers/http/http_client.h"
#include "tests/helpers/early_answer_server.h"
#include "tests/helpers/run_until.h"
#include "tests/helpers/scripted_backend.h"

#include <CppUTest/TestHarness.h>

using firefly::AsioExecutor;
using firefly::CurlClient;
using firefly::HttpError;
using firefly::HttpErrorKind;
using firefly::HttpResult;
using firefly::testing::AfterReply;
using firefly::testing::EarlyAnswerServer;
using firefly::testing::RunUntil;
using firefly::testing::ScriptedBackend;
using firefly::testing::ScriptedReply;
using firefly::testing::ScriptedRequest;

namespace {

using Result = tl::expected<HttpResult, HttpError>;

const std::string kBody = "all of the text";

struct Response
{
  std::string head;
  std::string body;
};

Response
WithLength()
{
  return { "HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\nContent-Length: " +
             std::to_string(kBody.size()) + "\r\n\r\n",
           kBody };
}

Response
Chunked()
{
  return { "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n",
           "f\r\n" + kBody + "\r\n0\r\n\r\n" };
}

Response
UntilClose()
{
  return { "HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\n\r\n", kBody };
}

} // namespace

TEST_GROUP(CutResponseTest)
{
  AsioExecutor executor;
  CurlClient client{ executor, {} };
  ScriptedReply reply;
  ScriptedBackend server{ executor,
                          [this](const ScriptedRequest&) { return reply; } };

  Result Fetch()
  {
    std::optional<Result> result;
    client.Fetch({ .url = "http://" + server.Address() + "/" },
                 [&](Result aResult) { result = std::move(aResult); });
    CHECK_TRUE(RunUntil(executor, [&] { return result.has_value(); }));
    return *result;
  }

  void CheckNoneIsWhole(const Response& aResponse, std::size_t aEnd)
  {
    const auto bytes = aResponse.head + aResponse.body;
    for (const auto after : { AfterReply::kClose, AfterReply::kReset }) {
      for (std::size_t n = 0; n < aEnd; ++n) {
        reply = { .bytes = bytes.substr(0, n), .after = after };
        const auto result = Fetch();
        const auto sent = "after " + reply.bytes;
        CHECK_TRUE_TEXT(!result.has_value(), sent.c_str());
        CHECK_TRUE_TEXT(result.error().kind == HttpErrorKind::kConnectionLost,
                        sent.c_str());
      }
    }
  }
};

// Guards against a 200 with an empty or short body that looks whole.
TEST(CutResponseTest, AResponseThatIsCutAnywhereIsNotReported)
{
  for (const auto& it : { WithLength(), Chunked() }) {
    // libcurl does not wait for the line feed behind the last chunk. The body
    // is whole without it.
    const auto end =
      it.body.ends_with('\n') ? it.body.size() - 1 : it.body.size();
    CheckNoneIsWhole(it, it.head.size() + end);
    reply = { .bytes = it.head + it.body, .after = AfterReply::kClose };
    CHECK(Fetch().value().body == kBody);
  }
}

// The end of the connection is the end of such a body, but not of its head.
TEST(CutResponseTest, AHeadWithoutALengthThatIsCutIsNotReported)
{
  const auto response = UntilClose();
  CheckNoneIsWhole(response, response.head.size());
  reply = { .bytes = response.head + response.body,
            .after = AfterReply::kClose };
  CHECK(Fetch().value().body == kBody);
}

// Guards against a part of a response without a length that counts as the whole
// one after the connection was reset during the upload.
TEST(CutResponseTest, AnEarlyResponseThatIsResetDuringTheUploadIsNotReported)
{
  constexpr int kCalls = 60;
  for (int i = 0; i < kCalls; ++i) {
    const std::string body = i % 2 == 0 ? "" : "part of the text";
    EarlyAnswerServer early(executor,
                            "HTTP/1.1 200 OK\r\n\r\n" + body,
                            EarlyAnswerServer::End::kReset,
                            std::chrono::milliseconds(i % 10));
    std::optional<Result> result;
    client.Fetch({ .method = "POST",
                   .url = "http://" + early.Address() + "/",
                   .body = std::string(std::size_t{ 3 } << 20U, 'x') },
                 [&](Result aResult) { result = std::move(aResult); });
    CHECK_TRUE(RunUntil(executor, [&] { return result.has_value(); }));
    CHECK_FALSE(result->has_value());
  }
}

// Guards against a status that is none and reaches the caller as an answer.
TEST(CutResponseTest, AResponseWithAnInvalidStatusIsNotReported)
{
  for (const auto* status : { "000", "001", "099", "600", "700", "999" }) {
    reply = { .bytes = "HTTP/1.1 " + std::string(status) +
                       " OK\r\nContent-Length: 4\r\n\r\ntext",
              .after = AfterReply::kClose };
    const auto result = Fetch();
    CHECK_FALSE_TEXT(result.has_value(), status);
    CHECK_TRUE_TEXT(result.error().kind == HttpErrorKind::kConnectionLost,
                    status);
  }
}
