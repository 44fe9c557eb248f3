#pragma once

// Reads the HTTP/1.1 messages of one connection from the bytes as they come.

#include <cstddef>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

#include <tl/expected.hpp>

#include "servers/http/http_message.h"

namespace firefly {

// Why bytes are no message that may be used.
enum class MessageFault : std::uint8_t
{
  kMalformed,
  // The head is longer than allowed.
  kHeadTooLarge,
  // The body is longer than allowed.
  kBodyTooLarge,
  // The connection ended before the message did.
  kCut,
};

// The start line and headers of a message.
struct MessageHead
{
  // Of a request.
  std::string method{};
  std::string target{};
  // Of a response.
  int status = 0;
  std::string reason{};

  HttpHeaders headers{};
  // Whether the sender keeps the connection open after the message.
  bool keepAlive = false;
  // The body's length; none when it is chunked or ends with the connection.
  std::optional<std::uint64_t> bodyBytes{};
  // The body ends where the connection does.
  bool endsWithConnection = false;
};

class MessageReader
{
public:
  enum class Side : std::uint8_t
  {
    kRequests,
    kResponses,
  };

  struct Options
  {
    Side side = Side::kRequests;
    std::size_t maxHeadBytes = 16U << 10U;
    std::size_t maxBodyBytes = 4U << 20U;
  };

  explicit MessageReader(Options aOptions);
  ~MessageReader();
  MessageReader(const MessageReader&) = delete;
  MessageReader& operator=(const MessageReader&) = delete;

  // Takes bytes of the connection. What follows the message's end is kept for
  // the next one. After a fault the reader is of no use.
  tl::expected<void, MessageFault> Feed(std::string_view aBytes);

  // Takes bytes that belong to the messages after this one.
  void Keep(std::string_view aBytes);

  // The peer closed its side in order.
  tl::expected<void, MessageFault> FeedEnd();

  // Whether the head is whole, and whether the message is.
  [[nodiscard]] bool HasHead() const;
  [[nodiscard]] bool Done() const;

  // Only after HasHead.
  [[nodiscard]] const MessageHead& Head() const;

  // The bytes of the body that came since the last call.
  std::string TakeBody();

  // Bytes of the next message that are here already.
  [[nodiscard]] std::size_t Buffered() const;

  // Begins with the next message; the buffered bytes are read by the next Feed.
  void Next();

  // The response has no body whatever its headers say (an answer to HEAD).
  void ExpectNoBody();

  void SetLimits(std::size_t aMaxHeadBytes, std::size_t aMaxBodyBytes);

private:
  class Parser;
  template<bool IsRequest>
  class BeastParser;

  void MakeParser();
  tl::expected<void, MessageFault> FeedHead();
  tl::expected<void, MessageFault> FeedBody();

  Options mOptions;
  std::unique_ptr<Parser> mParser;
  std::string mBuffer;
  bool mNoBody = false;
};

} // namespace firefly
