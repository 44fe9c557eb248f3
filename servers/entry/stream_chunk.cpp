#include "servers/entry/stream_chunk.h"

#include <nlohmann/json.hpp>

namespace firefly {

namespace {

using Json = nlohmann::json;

std::string
Dump(const Json& aBody)
{
  return aBody.dump(-1, ' ', false, Json::error_handler_t::replace);
}

std::string
ReadText(const Json& aObject, const char* aKey)
{
  const auto it = aObject.find(aKey);
  return it != aObject.end() && it->is_string() ? it->get<std::string>()
                                                : std::string();
}

std::string
TokenText(const Json& aChoice, bool aChat)
{
  if (!aChat) {
    return ReadText(aChoice, "text");
  }
  const auto delta = aChoice.find("delta");
  const bool isValid = delta != aChoice.end() && delta->is_object();
  return isValid ? ReadText(*delta, "content") : std::string();
}

Json
MakeHead(const AnswerHead& aHead, bool aIsStreamed)
{
  std::string object = aHead.chat ? "chat.completion" : "text_completion";
  if (aHead.chat && aIsStreamed) {
    object += ".chunk";
  }
  return { { "id", aHead.id },
           { "object", object },
           { "created", aHead.created },
           { "model", aHead.model } };
}

Json
MakeChoice(const AnswerHead& aHead, const StreamChunk& aChunk)
{
  const bool finish = aChunk.kind == ChunkKind::kFinish;
  Json choice{ { "index", 0 }, { "finish_reason", nullptr } };
  if (finish) {
    choice["finish_reason"] = aChunk.finishReason;
  }
  if (!aHead.chat) {
    choice["text"] = aChunk.text;
    return choice;
  }
  choice["delta"] = Json::object();
  if (!finish) {
    choice["delta"]["content"] = aChunk.text;
  }
  if (!finish && aChunk.offset == 0) {
    choice["delta"]["role"] = "assistant";
  }
  return choice;
}

} // namespace

tl::expected<StreamChunk, ChunkError>
ParseChunk(const std::string& aData, bool aChat)
{
  StreamChunk chunk;
  if (aData == "[DONE]") {
    chunk.kind = ChunkKind::kDone;
    return chunk;
  }
  const auto body = Json::parse(aData, nullptr, false);
  if (!body.is_object()) {
    return tl::unexpected(ChunkError{ "event data is not a JSON object" });
  }
  chunk.streamId = ReadText(body, "id");
  const auto created = body.find("created");
  if (created != body.end() && created->is_number_integer()) {
    chunk.created = created->get<std::int64_t>();
  }
  const auto extension = body.find("firefly");
  const auto choices = body.find("choices");
  const bool hasChoice = choices != body.end() && choices->is_array() &&
                         !choices->empty() && choices->front().is_object();
  if (!hasChoice) {
    return chunk;
  }
  const bool hasOffset = extension != body.end() && extension->is_object() &&
                         extension->contains("offset") &&
                         (*extension)["offset"].is_number_unsigned();
  if (!hasOffset) {
    return tl::unexpected(
      ChunkError{ "chunk with a choice has no valid firefly.offset" });
  }
  chunk.offset = (*extension)["offset"].get<std::uint32_t>();
  chunk.finishReason = ReadText(choices->front(), "finish_reason");
  chunk.text = TokenText(choices->front(), aChat);
  if (!chunk.finishReason.empty() && !chunk.text.empty()) {
    return tl::unexpected(
      ChunkError{ "chunk has both a finish reason and a token" });
  }
  chunk.kind =
    chunk.finishReason.empty() ? ChunkKind::kToken : ChunkKind::kFinish;
  return chunk;
}

std::string
ToCallerEvent(const AnswerHead& aHead, const StreamChunk& aChunk)
{
  auto event = MakeHead(aHead, true);
  event["choices"] = Json::array({ MakeChoice(aHead, aChunk) });
  return "data: " + Dump(event) + "\n\n";
}

std::string
MakeDoneEvent()
{
  return "data: [DONE]\n\n";
}

std::string
MakeErrorEvent(const Problem& aProblem, const std::string& aRequestId)
{
  return "event: error\ndata: " + ToErrorObject(aProblem, aRequestId) + "\n\n";
}

std::string
MakeAnswerBody(const AnswerHead& aHead,
               const std::string& aText,
               const std::string& aFinishReason,
               const AnswerUsage& aUsage)
{
  auto body = MakeHead(aHead, false);
  Json choice{ { "index", 0 }, { "finish_reason", aFinishReason } };
  if (aHead.chat) {
    choice["message"] = { { "role", "assistant" }, { "content", aText } };
  } else {
    choice["text"] = aText;
  }
  body["choices"] = Json::array({ choice });
  body["usage"] = { { "prompt_tokens", aUsage.promptTokens },
                    { "completion_tokens", aUsage.outputTokens },
                    { "total_tokens",
                      aUsage.promptTokens + aUsage.outputTokens } };
  return Dump(body);
}

} // namespace firefly
