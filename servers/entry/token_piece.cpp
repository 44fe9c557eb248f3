#include "servers/entry/token_piece.h"

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
TextAt(const Json& aObject, const char* aKey)
{
  const auto it = aObject.find(aKey);
  return it != aObject.end() && it->is_string() ? it->get<std::string>()
                                                : std::string();
}

std::string
TokenText(const Json& aChoice, bool aChat)
{
  if (!aChat) {
    return TextAt(aChoice, "text");
  }
  const auto delta = aChoice.find("delta");
  const bool sound = delta != aChoice.end() && delta->is_object();
  return sound ? TextAt(*delta, "content") : std::string();
}

Json
HeadOf(const AnswerHead& aHead, bool aChunk)
{
  std::string object = aHead.chat ? "chat.completion" : "text_completion";
  if (aHead.chat && aChunk) {
    object += ".chunk";
  }
  return { { "id", aHead.id },
           { "object", object },
           { "created", aHead.created },
           { "model", aHead.model } };
}

Json
ChoiceOf(const AnswerHead& aHead, const TokenPiece& aPiece)
{
  const bool finish = aPiece.kind == PieceKind::kFinish;
  Json choice{ { "index", 0 }, { "finish_reason", nullptr } };
  if (finish) {
    choice["finish_reason"] = aPiece.finishReason;
  }
  if (!aHead.chat) {
    choice["text"] = aPiece.text;
    return choice;
  }
  choice["delta"] = Json::object();
  if (!finish) {
    choice["delta"]["content"] = aPiece.text;
  }
  if (!finish && aPiece.offset == 0) {
    choice["delta"]["role"] = "assistant";
  }
  return choice;
}

} // namespace

tl::expected<TokenPiece, PieceError>
ParsePiece(const std::string& aData, bool aChat)
{
  TokenPiece piece;
  if (aData == "[DONE]") {
    piece.kind = PieceKind::kDone;
    return piece;
  }
  const auto body = Json::parse(aData, nullptr, false);
  if (!body.is_object()) {
    return tl::unexpected(PieceError{ "an event is no JSON object" });
  }
  piece.streamId = TextAt(body, "id");
  const auto created = body.find("created");
  if (created != body.end() && created->is_number_integer()) {
    piece.created = created->get<std::int64_t>();
  }
  const auto extension = body.find("firefly");
  const auto choices = body.find("choices");
  const bool carries = choices != body.end() && choices->is_array() &&
                       !choices->empty() && choices->front().is_object();
  if (!carries) {
    return piece;
  }
  const bool placed = extension != body.end() && extension->is_object() &&
                      extension->contains("offset") &&
                      (*extension)["offset"].is_number_unsigned();
  if (!placed) {
    return tl::unexpected(PieceError{ "a piece has no offset" });
  }
  piece.offset = (*extension)["offset"].get<std::uint32_t>();
  piece.finishReason = TextAt(choices->front(), "finish_reason");
  piece.text = TokenText(choices->front(), aChat);
  if (!piece.finishReason.empty() && !piece.text.empty()) {
    return tl::unexpected(PieceError{ "a finish carries a token" });
  }
  piece.kind =
    piece.finishReason.empty() ? PieceKind::kToken : PieceKind::kFinish;
  return piece;
}

std::string
ToCallerEvent(const AnswerHead& aHead, const TokenPiece& aPiece)
{
  auto chunk = HeadOf(aHead, true);
  chunk["choices"] = Json::array({ ChoiceOf(aHead, aPiece) });
  return "data: " + Dump(chunk) + "\n\n";
}

std::string
DoneEvent()
{
  return "data: [DONE]\n\n";
}

std::string
ErrorEvent(const Problem& aProblem, const std::string& aRequestId)
{
  return "event: error\ndata: " + ToErrorObject(aProblem, aRequestId) + "\n\n";
}

std::string
WholeBody(const AnswerHead& aHead,
          const std::string& aText,
          const std::string& aFinishReason,
          const AnswerUsage& aUsage)
{
  auto body = HeadOf(aHead, false);
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
