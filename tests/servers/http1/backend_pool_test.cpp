// Tests calls to a scripted backend server on loopback.

#include "servers/http1/backend_pool.h"

#include <chrono>
#include <functional>
#include <memory>
#include <optional>
#include <string>

#include "tests/helpers/early_answer_server.h"
#include "tests/helpers/run_until.h"
#include "tests/helpers/scripted_backend.h"

#include <CppUTest/TestHarness.h>

using namespace std::chrono_literals;
using firefly::AsioExecutor;
using firefly::BackendAddress;
using firefly::BackendCall;
using firefly::BackendCallFault;
using firefly::BackendCallObserver;
using firefly::BackendId;
using firefly::BackendPool;
using firefly::MessageHead;
using firefly::RequestId;
using firefly::ResponseMatch;
using firefly::testing::AfterReply;
using firefly::testing::EarlyAnswerServer;
using firefly::testing::RunUntil;
using firefly::testing::ScriptedBackend;
using firefly::testing::ScriptedReply;
using firefly::testing::ScriptedRequest;

namespace {

class RecordingObserver : public BackendCallObserver
{
public:
  ResponseMatch MatchResponse(const MessageHead& /*aHead*/) override
  {
    return match;
  }
  void OnHead(const MessageHead& /*aHead*/) override {}
  void OnBody(std::string aBytes) override
  {
    body += aBytes;
    if (onBody) {
      onBody();
    }
  }
  void OnEnd() override
  {
    ended = true;
    if (onEnd) {
      onEnd();
    }
  }
  void OnFault(BackendCallFault aFault) override { fault = aFault; }

  ResponseMatch match = ResponseMatch::kThisCall;
  std::function<void()> onBody;
  std::function<void()> onEnd;
  std::string body;
  bool ended = false;
  std::optional<BackendCallFault> fault;
};

ScriptedReply
AnswerWithTarget(const ScriptedRequest& aRequest)
{
  const auto& target = aRequest.head.target;
  return { .bytes = "HTTP/1.1 200 OK\r\nContent-Length: " +
                    std::to_string(target.size()) + "\r\n\r\n" + target };
}

} // namespace

TEST_GROUP(BackendPoolTest)
{
  AsioExecutor executor;
  ScriptedBackend backend{ executor, AnswerWithTarget };
  BackendPool pool{ executor, {} };

  BackendPool::Call MakeCall(const std::string& aTarget)
  {
    return { .backend = BackendId("b1"),
             .address = BackendAddress(backend.Address()),
             .request = RequestId(aTarget),
             .bytes = "GET " + aTarget + " HTTP/1.1\r\nHost: h\r\n\r\n" };
  }

  void Await(const std::function<bool()>& aCondition)
  {
    CHECK_TRUE(RunUntil(executor, aCondition, std::chrono::seconds(2)));
  }
};

TEST(BackendPoolTest, ReusesAConnectionAfterAnAnswer)
{
  RecordingObserver first;
  RecordingObserver second;
  const auto firstCall = pool.Start(MakeCall("/1"), first);
  Await([&] { return first.ended; });
  const auto secondCall = pool.Start(MakeCall("/2"), second);
  Await([&] { return second.ended; });
  STRCMP_EQUAL("/2", second.body.c_str());
  UNSIGNED_LONGS_EQUAL(1, backend.AcceptedConnections());
}

// A queued request is sent as soon as another one ends, on the connection that
// has become idle and before the owner of the ended call destroys it.
TEST(BackendPoolTest, DestroyingAnEndedCallDoesNotAbandonTheNextOne)
{
  RecordingObserver first;
  RecordingObserver second;
  std::unique_ptr<BackendCall> secondCall;
  first.onEnd = [&] { secondCall = pool.Start(MakeCall("/2"), second); };
  auto firstCall = pool.Start(MakeCall("/1"), first);
  Await([&] { return first.ended; });
  firstCall.reset();
  Await([&] { return second.ended || second.fault; });
  STRCMP_EQUAL("/2", second.body.c_str());
  UNSIGNED_LONGS_EQUAL(1, backend.AcceptedConnections());
}

TEST(BackendPoolTest, PausingAnEndedCallDoesNotPauseTheNextOne)
{
  RecordingObserver first;
  RecordingObserver second;
  const auto firstCall = pool.Start(MakeCall("/1"), first);
  Await([&] { return first.ended; });
  const auto secondCall = pool.Start(MakeCall("/2"), second);
  firstCall->Pause();
  Await([&] { return second.ended; });
  STRCMP_EQUAL("/2", second.body.c_str());
}

TEST(BackendPoolTest, ACallPausedAtItsEndDoesNotPauseTheNextOne)
{
  RecordingObserver first;
  RecordingObserver second;
  const auto firstCall = pool.Start(MakeCall("/1"), first);
  first.onBody = [&] { firstCall->Pause(); };
  Await([&] { return first.ended; });
  const auto secondCall = pool.Start(MakeCall("/2"), second);
  Await([&] { return second.ended || second.fault; });
  STRCMP_EQUAL("/2", second.body.c_str());
}

TEST(BackendPoolTest, DestroyingARunningCallClosesItsConnection)
{
  RecordingObserver first;
  auto call = pool.Start(MakeCall("/1"), first);
  Await([&] { return backend.AcceptedConnections() == 1; });
  call.reset();
  Await([&] { return backend.ClosedConnections() == 1; });
  CHECK_FALSE(first.ended);
}

// The response to the repeat could not be told from a late copy of the first.
TEST(BackendPoolTest, ARepeatedRequestTakesAnotherConnection)
{
  RecordingObserver first;
  RecordingObserver second;
  const auto firstCall = pool.Start(MakeCall("/1"), first);
  Await([&] { return first.ended; });
  const auto secondCall = pool.Start(MakeCall("/1"), second);
  Await([&] { return second.ended; });
  UNSIGNED_LONGS_EQUAL(2, backend.AcceptedConnections());
  // The first connection stays in the pool for other requests.
  UNSIGNED_LONGS_EQUAL(2, pool.IdleCount());
}

TEST(BackendPoolTest, AConnectionEndsAfterAnUnidentifiedResponse)
{
  RecordingObserver observer;
  observer.match = ResponseMatch::kUnidentified;
  const auto call = pool.Start(MakeCall("/1"), observer);
  Await([&] { return observer.ended; });
  UNSIGNED_LONGS_EQUAL(0, pool.IdleCount());
}

// Guards against a release or an order that is answered by a late response to
// an earlier request, which would leave its own response to the next one.
TEST(BackendPoolTest, ACallWithoutAnIdTakesAConnectionOfItsOwn)
{
  RecordingObserver first;
  const auto firstCall = pool.Start(MakeCall("/1"), first);
  Await([&] { return first.ended; });
  auto release = MakeCall("/2");
  release.request = RequestId();
  pool.Send(std::move(release));
  Await([&] { return backend.ClosedConnections() == 1; });
  UNSIGNED_LONGS_EQUAL(2, backend.AcceptedConnections());
  UNSIGNED_LONGS_EQUAL(1, pool.IdleCount());
}

// Bytes that reached the socket since the last response belong to no call. The
// executor does not run in between, so that only the check on reuse sees them.
TEST(BackendPoolTest, AConnectionWithUnreadBytesIsNotReused)
{
  ScriptedBackend noisy(executor, [](const ScriptedRequest& aRequest) {
    return ScriptedReply{ .bytes = AnswerWithTarget(aRequest).bytes,
                          .after = AfterReply::kKeep,
                          .trickle = "x",
                          .trickleInterval = 1ms };
  });
  RecordingObserver first;
  RecordingObserver second;
  auto request = MakeCall("/1");
  request.address = BackendAddress(noisy.Address());
  std::unique_ptr<BackendCall> secondCall;
  const auto firstCall = pool.Start(std::move(request), first);
  Await([&] { return first.ended; });
  Await([&] { return noisy.TrickledBytes() > 0; });
  auto next = MakeCall("/2");
  next.address = BackendAddress(noisy.Address());
  secondCall = pool.Start(std::move(next), second);
  Await([&] { return second.ended || second.fault; });
  STRCMP_EQUAL("/2", second.body.c_str());
  UNSIGNED_LONGS_EQUAL(2, noisy.AcceptedConnections());
}

// A response to another call may come without end. It must not hold up the call
// until its caller gives up.
TEST(BackendPoolTest, AnEndlessResponseToAnotherCallFailsTheCall)
{
  ScriptedBackend endless(executor, [](const ScriptedRequest& /*aRequest*/) {
    return ScriptedReply{
      .bytes = "HTTP/1.1 200 OK\r\nContent-Length: 99999999\r\n\r\n" +
               std::string(6U << 20U, 'x')
    };
  });
  RecordingObserver observer;
  observer.match = ResponseMatch::kOtherCall;
  auto request = MakeCall("/1");
  request.address = BackendAddress(endless.Address());
  const auto call = pool.Start(std::move(request), observer);
  Await([&] { return observer.fault.has_value(); });
  CHECK_TRUE(observer.fault == BackendCallFault::kMalformed);
  Await([&] { return endless.ClosedConnections() == 1; });
}

// Guards against a part of an answer without a length that counts as the whole
// one: once an error ends the upload, the reset looks like an orderly end.
TEST(BackendPoolTest, AnEarlyAnswerThatIsResetDuringTheUploadIsNotWhole)
{
  constexpr std::size_t kUploadBytes = 3U << 20U;
  constexpr int kCalls = 60;
  for (int i = 0; i < kCalls; ++i) {
    const std::string body = i % 2 == 0 ? "" : "part of the answer";
    EarlyAnswerServer server(executor,
                             "HTTP/1.1 200 OK\r\n\r\n" + body,
                             EarlyAnswerServer::End::kReset,
                             std::chrono::milliseconds(i % 10));
    auto call = MakeCall("/1");
    call.address = BackendAddress(server.Address());
    call.bytes = "POST /1 HTTP/1.1\r\nHost: h\r\nContent-Length: " +
                 std::to_string(kUploadBytes) + "\r\n\r\n";
    call.body = std::make_shared<const std::string>(kUploadBytes, 'x');
    RecordingObserver observer;
    const auto running = pool.Start(std::move(call), observer);
    Await([&] { return observer.ended || observer.fault; });
    CHECK_FALSE(observer.ended);
    CHECK(observer.fault == BackendCallFault::kConnectionLost);
  }
}

TEST(BackendPoolTest, AnEarlyAnswerThatEndsInAnOrderlyWayIsWhole)
{
  constexpr std::size_t kUploadBytes = 3U << 20U;
  EarlyAnswerServer server(executor,
                           "HTTP/1.1 200 OK\r\n\r\nthe whole answer",
                           EarlyAnswerServer::End::kOrderly);
  auto call = MakeCall("/1");
  call.address = BackendAddress(server.Address());
  call.bytes = "POST /1 HTTP/1.1\r\nHost: h\r\nContent-Length: " +
               std::to_string(kUploadBytes) + "\r\n\r\n";
  call.body = std::make_shared<const std::string>(kUploadBytes, 'x');
  RecordingObserver observer;
  const auto running = pool.Start(std::move(call), observer);
  Await([&] { return observer.ended || observer.fault; });
  CHECK_TRUE(observer.ended);
  STRCMP_EQUAL("the whole answer", observer.body.c_str());
}
