#include "tests/stand_ins/engine/engine_job.h"

#include <nlohmann/json.hpp>

#include "tests/stand_ins/engine/token_text.h"

namespace firefly::testing {

namespace {

using Json = nlohmann::json;

constexpr int kCreated = 1700000000;

std::string
PromptOfJson(const Json& aBody)
{
  if (!aBody.contains("messages")) {
    return aBody.value("prompt", "");
  }
  std::string prompt;
  for (const auto& it : aBody["messages"]) {
    prompt += it.value("role", "") + ":" + it.value("content", "") + "\n";
  }
  return prompt;
}

std::optional<std::uint32_t>
OptionalCount(const Json& aBody, const char* aKey)
{
  if (!aBody.contains(aKey)) {
    return std::nullopt;
  }
  return aBody[aKey].get<std::uint32_t>();
}

Json
AnswerHead(const EngineRequest& aRequest, const std::string& aId, bool aChunk)
{
  const std::string kind =
    aRequest.chat ? "chat.completion" : "text_completion";
  return { { "id", aId },
           { "object", aRequest.chat && aChunk ? kind + ".chunk" : kind },
           { "created", kCreated },
           { "model", aRequest.model } };
}

Json
Choice(const EngineRequest& aRequest,
       const std::string& aText,
       const Json& aFinish)
{
  Json choice{ { "index", 0 }, { "finish_reason", aFinish } };
  if (!aRequest.chat) {
    choice["text"] = aText;
  } else if (aFinish.is_null()) {
    choice["delta"] = { { "content", aText } };
  } else {
    choice["delta"] = Json::object();
  }
  return choice;
}

std::string
Event(const Json& aChunk)
{
  return "data: " + aChunk.dump() + "\n\n";
}

} // namespace

std::optional<EngineRequest>
ParseEngineRequest(const HttpRequest& aRequest)
{
  try {
    const auto body = Json::parse(aRequest.body);
    EngineRequest request;
    request.id = body.value("request_id", "anonymous");
    request.model = body.value("model", "");
    request.prompt = PromptOfJson(body);
    request.seed = body.value("seed", 0U);
    request.maxTokens = body.value("max_tokens", request.maxTokens);
    request.resumeFrom = body.value("resume_from", 0U);
    request.priority = body.value("priority", 1);
    request.chat = aRequest.path == "/v1/chat/completions";
    request.stream = body.value("stream", false);
    return request;
  } catch (const Json::exception&) {
    return std::nullopt;
  }
}

std::optional<EngineFaults>
ParseEngineFaults(const std::string& aBody)
{
  try {
    const auto body = Json::parse(aBody);
    EngineFaults faults;
    faults.stallAfter = OptionalCount(body, "stall_after");
    faults.truncateAfter = OptionalCount(body, "truncate_after");
    faults.cutAfter = OptionalCount(body, "cut_after");
    faults.duplicateAt = OptionalCount(body, "duplicate_at");
    faults.skipAt = OptionalCount(body, "skip_at");
    faults.crossAt = OptionalCount(body, "cross_at");
    faults.slowFactor = body.value("slow_factor", 1.0);
    faults.crashMarker = body.value("crash_marker", "");
    faults.crashAfter = body.value("crash_after", 0U);
    return faults;
  } catch (const Json::exception&) {
    return std::nullopt;
  }
}

std::string
TokenEvent(const EngineRequest& aRequest,
           const std::string& aId,
           std::uint32_t aOffset,
           const std::string& aText)
{
  auto chunk = AnswerHead(aRequest, aId, true);
  chunk["choices"] = Json::array({ Choice(aRequest, aText, nullptr) });
  chunk["firefly"] = { { "offset", aOffset } };
  return Event(chunk);
}

std::string
FinishEvent(const EngineRequest& aRequest, std::uint32_t aOffset)
{
  auto chunk = AnswerHead(aRequest, aRequest.id, true);
  chunk["choices"] = Json::array({ Choice(aRequest, "", "length") });
  chunk["firefly"] = { { "offset", aOffset } };
  return Event(chunk) + "data: [DONE]\n\n";
}

std::string
WholeAnswer(const EngineRequest& aRequest)
{
  const auto text = TextOf(aRequest.prompt, aRequest.seed, aRequest.maxTokens);
  auto answer = AnswerHead(aRequest, aRequest.id, false);
  Json choice{ { "index", 0 }, { "finish_reason", "length" } };
  if (aRequest.chat) {
    choice["message"] = { { "role", "assistant" }, { "content", text } };
  } else {
    choice["text"] = text;
  }
  answer["choices"] = Json::array({ choice });
  return answer.dump();
}

} // namespace firefly::testing
