// Tests which calls a connection to a backend server may carry.

#include "servers/http1/connection_reuse.h"

#include <string>

#include <CppUTest/TestHarness.h>

using firefly::ConnectionReuse;
using firefly::RequestId;
using firefly::ResponseMatch;

TEST_GROUP(ConnectionReuseTest)
{
  ConnectionReuse reuse;
};

TEST(ConnectionReuseTest, CarriesDifferentRequests)
{
  reuse.OnCall(RequestId("q1"), false);
  reuse.OnResponse(ResponseMatch::kThisCall);
  CHECK_TRUE(reuse.MayCarryMore());
  CHECK_TRUE(reuse.MayCarry(RequestId("q2"), false));
}

// Guards against a late copy of the first response being taken for the response
// to the repeat.
TEST(ConnectionReuseTest, CarriesNoRequestTwice)
{
  reuse.OnCall(RequestId("q1"), false);
  reuse.OnCall(RequestId("q2"), false);
  CHECK_FALSE(reuse.MayCarry(RequestId("q1"), false));
  CHECK_FALSE(reuse.MayCarry(RequestId("q2"), false));
  CHECK_TRUE(reuse.MayCarry(RequestId("q3"), false));
}

// A late response to another call cannot be told from theirs.
TEST(ConnectionReuseTest, CallsWithoutAnIdTakeAConnectionOfTheirOwn)
{
  CHECK_TRUE(reuse.MayCarry(RequestId(), false));
  reuse.OnCall(RequestId("q1"), false);
  CHECK_FALSE(reuse.MayCarry(RequestId(), false));
  ConnectionReuse exclusive;
  exclusive.OnCall(RequestId(), false);
  CHECK_FALSE(exclusive.MayCarryMore());
  CHECK_FALSE(exclusive.MayCarry(RequestId("q1"), false));
}

// The body of a late response would be read as the head of the next one.
TEST(ConnectionReuseTest, CallsWithoutABodyTakeAConnectionOfTheirOwn)
{
  reuse.OnCall(RequestId("q1"), false);
  CHECK_FALSE(reuse.MayCarry(RequestId("q2"), true));
  ConnectionReuse exclusive;
  exclusive.OnCall(RequestId("q1"), true);
  CHECK_FALSE(exclusive.MayCarryMore());
}

// A copy of a response without an id cannot be told from the next response.
TEST(ConnectionReuseTest, EndsAfterAnUnidentifiedResponse)
{
  reuse.OnCall(RequestId("q1"), false);
  reuse.OnResponse(ResponseMatch::kUnidentified);
  CHECK_FALSE(reuse.MayCarryMore());
}

// Guards against a refusal or an answer that belongs to no request and is taken
// for the response to the running call.
TEST(ConnectionReuseTest, AnUnidentifiedResponseIsAcceptedByTheFirstCallOnly)
{
  reuse.OnCall(RequestId("q1"), false);
  CHECK_TRUE(reuse.OnResponse(ResponseMatch::kThisCall));
  reuse.OnCall(RequestId("q2"), false);
  CHECK_TRUE(reuse.OnResponse(ResponseMatch::kOtherCall));
  CHECK_FALSE(reuse.OnResponse(ResponseMatch::kUnidentified));
  ConnectionReuse fresh;
  fresh.OnCall(RequestId("q1"), false);
  CHECK_TRUE(fresh.OnResponse(ResponseMatch::kUnidentified));
}

// Guards against ids that accumulate without bound on a busy connection.
TEST(ConnectionReuseTest, EndsAfterTheMaximumNumberOfCalls)
{
  for (std::size_t i = 0; i < ConnectionReuse::kMaxCalls; i++) {
    const RequestId id("q" + std::to_string(i));
    CHECK_TRUE(reuse.MayCarry(id, false));
    reuse.OnCall(id, false);
  }
  CHECK_FALSE(reuse.MayCarryMore());
  CHECK_FALSE(reuse.MayCarry(RequestId("next"), false));
}
