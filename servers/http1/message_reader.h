#pragma once

// Parses the HTTP/1.1 messages of one connection as their bytes arrive.

#include <cstddef>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

#include <tl/expected.hpp>

#include "servers/http/http_message.h"

namespace firefly {

// Why a message was rejected.
enum class MessageFault : std::uint8_t
{
  kMalformed,
  // The head exceeds the size limit.
  kHeadTooLarge,
  // The body exceeds the size limit.
  kBodyTooLarge,
  // The connection ended before the message was complete.
  kTruncated,
};

// The start line and headers of a message.
struct MessageHead
{
  // Set for requests only.
  std::string method{};
  std::string target{};
  // Set for responses only.
  int status = 0;
  std::string reason{};

  HttpHeaders headers{};
  // Whether the sender keeps the connection open after the message.
  bool keepAlive = false;
  // The length of the body; none if it is chunked or ends with the connection.
  std::optional<std::uint64_t> bodyBytes{};
  // The end of the connection marks the end of the body.
  bool endsWithConnection = false;
};

// Parses one message after the other.
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

  // Parses bytes received on the connection. Bytes after the end of the message
  // are buffered for the next one. The reader can't be used after a fault.
  tl::expected<void, MessageFault> Feed(std::string_view aBytes);

  // Buffers bytes that belong to later messages without parsing them.
  void BufferBytes(std::string_view aBytes);

  // Handles the orderly end of the connection. Fails if the message is
  // incomplete.
  tl::expected<void, MessageFault> FeedEof();

  // Whether the head, and whether the message, was read completely.
  [[nodiscard]] bool HasHead() const;
  [[nodiscard]] bool Done() const;

  // The head of the message. Valid only if HasHead() is true.
  [[nodiscard]] const MessageHead& Head() const;

  // Removes and returns the body bytes that were read since the last call.
  std::string TakeBody();

  // The number of received bytes that have not been parsed.
  [[nodiscard]] std::size_t BufferedBytes() const;

  // The bytes of the body that were read and not taken.
  [[nodiscard]] std::size_t BodyBytes() const;

  // The memory that is held for received bytes, and for the body alone.
  [[nodiscard]] std::size_t HeldBytes() const;
  [[nodiscard]] std::size_t BodyCapacity() const;

  // Allocates memory for the rest of a body whose length is known.
  void ReserveBody(std::size_t aBytes);

  // Frees all received bytes. The reader can't be used afterwards.
  void Discard();

  // Starts the next message. The next call of Feed parses the buffered bytes
  // first.
  void Next();

  // Declares that the response has no body whatever its headers say, as to a
  // HEAD request. Must be called before any byte of the response is parsed.
  void ExpectNoBody();

  // Sets the size limits for the messages after the current one. For the head
  // of the current message, the smaller of its former and its new limit
  // applies.
  void SetLimits(std::size_t aMaxHeadBytes, std::size_t aMaxBodyBytes);

private:
  class Parser;
  template<bool IsRequest>
  class BeastParser;

  void ResetParser();
  // These remove the bytes that they parse.
  tl::expected<void, MessageFault> Parse(std::string_view& aBytes);
  tl::expected<void, MessageFault> ParseHead(std::string_view& aBytes);
  tl::expected<void, MessageFault> ParseBody(std::string_view& aBytes);

  Options mOptions;
  std::unique_ptr<Parser> mParser;
  std::string mBuffer;
  std::size_t mHeadBytes = 0;
  bool mNoBody = false;
  // Interim responses before the present one.
  int mInterimResponses = 0;
};

} // namespace firefly
