#include "servers/entry/caller_request.h"

#include <nlohmann/json.hpp>

#include <CppUTest/TestHarness.h>

using firefly::CallerHead;
using firefly::CallerRequestReader;
using firefly::HttpRequest;
using firefly::MakeEngineBody;
using firefly::RequestType;
using firefly::ServiceId;
using firefly::ServiceKind;
using firefly::Settings;

namespace {

Settings
TestSettings()
{
  Settings settings;
  settings.services.push_back(
    { .id = ServiceId("assistant"),
      .kind = ServiceKind::kModel,
      .model = firefly::ModelId("big"),
      .requestTypes = { { .name = RequestType("question"),
                          .idempotent = true,
                          .method = {},
                          .path = {} } } });
  settings.services.push_back({ .id = ServiceId("desk"),
                                .kind = ServiceKind::kPlain,
                                .model = {},
                                .requestTypes = { { .name = RequestType("book"),
                                                    .idempotent = false,
                                                    .method = "POST",
                                                    .path = "/b" } } });
  return settings;
}

} // namespace

TEST_GROUP(CallerRequestTest)
{
  Settings settings = TestSettings();
  CallerRequestReader reader{ settings };

  int StatusOfModelCall(const std::string& aBody) const
  {
    HttpRequest request;
    request.path = "/v1/completions";
    request.body = aBody;
    const auto call = reader.ReadModelCall(request, CallerHead{});
    return call ? 200 : call.error().status;
  }

  int StatusOfPlainCall(const std::string& aPath,
                        const std::string& aKey,
                        const std::string& aBody) const
  {
    HttpRequest request;
    request.path = aPath;
    request.body = aBody;
    request.headers = { { "Idempotency-Key", aKey } };
    const auto call = reader.ReadPlainCall(request, CallerHead{});
    return call ? 200 : call.error().status;
  }
};

TEST(CallerRequestTest, InvalidModelCallsAreRejected)
{
  LONGS_EQUAL(200, StatusOfModelCall(R"({"model":"big","prompt":"x"})"));
  LONGS_EQUAL(404, StatusOfModelCall(R"({"model":"other","prompt":"x"})"));
  for (const char* it :
       { "",
         "[]",
         "{",
         R"({"prompt":"x"})",
         R"({"model":"big"})",
         R"({"model":"big","prompt":["x"]})",
         R"({"model":"big","prompt":"x","n":2})",
         R"({"model":"big","prompt":"x","max_tokens":0})",
         R"({"model":"big","prompt":"x","max_tokens":-1})",
         R"({"model":"big","prompt":"x","max_tokens":"9"})" }) {
    LONGS_EQUAL_TEXT(400, StatusOfModelCall(it), it);
  }
}

TEST(CallerRequestTest, InvalidPlainCallsAreRejected)
{
  LONGS_EQUAL(200, StatusOfPlainCall("/services/desk/book", "k", "{}"));
  LONGS_EQUAL(400, StatusOfPlainCall("/services/desk/book", "", "{}"));
  LONGS_EQUAL(400, StatusOfPlainCall("/services/desk/book", "a b", "{}"));
  LONGS_EQUAL(400, StatusOfPlainCall("/services/desk/book", "k", "{"));
  LONGS_EQUAL(404, StatusOfPlainCall("/services/desk/none", "k", "{}"));
  LONGS_EQUAL(404, StatusOfPlainCall("/services/assistant/book", "k", "{}"));
  LONGS_EQUAL(404, StatusOfPlainCall("/services/desk", "k", "{}"));
}

TEST(CallerRequestTest, EngineBodyCarriesTheEntrysFieldsNotTheCallers)
{
  HttpRequest request;
  request.path = "/v1/completions";
  request.body = R"({"model":"assistant","prompt":"x","request_id":"mine",)"
                 R"("priority":0,"resume_from":7,"stream":false,"seed":3})";
  const auto call = reader.ReadModelCall(request, CallerHead{});
  CHECK_TRUE(call.has_value());
  const auto body = nlohmann::json::parse(MakeEngineBody(
    *call, { .requestId = "h-1-1", .priority = 2, .resumeFrom = 4 }));
  const nlohmann::json expected{
    { "model", "big" },  { "prompt", "x" },         { "seed", 3 },
    { "stream", true },  { "request_id", "h-1-1" }, { "priority", 2 },
    { "resume_from", 4 }
  };
  STRCMP_EQUAL(expected.dump().c_str(), body.dump().c_str());
}

TEST(CallerRequestTest, InvalidRequestIdIsReplaced)
{
  HttpRequest request;
  request.headers = { { "x-request-id", "bad id" }, { "X-Customer", "c-1" } };
  const auto head = reader.ReadHead(request, "generated-1");
  STRCMP_EQUAL("generated-1", head.requestId.c_str());
  STRCMP_EQUAL("c-1", head.customer.Value().c_str());
}
