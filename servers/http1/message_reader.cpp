#include "servers/http1/message_reader.h"

#include <algorithm>
#include <cctype>
#include <limits>
#include <utility>

#include <boost/asio/buffer.hpp>
#include <boost/beast/core/string.hpp>
#include <boost/beast/http/basic_parser.hpp>
#include <boost/beast/http/error.hpp>

#include "servers/http1/message_writer.h"

namespace firefly {

namespace {

// More interim responses than this come from a faulty server.
constexpr int kMaxInterimResponses = 16;

namespace beast = boost::beast;
namespace http = boost::beast::http;

constexpr std::string_view kEndOfHead = "\r\n\r\n";
// An empty chunked body. The parser may not see less of it at first: an
// assertion of Boost.Beast 1.74 ends the process if the last chunk arrives
// without a chunk before it and with fewer bytes.
constexpr std::size_t kMinChunkedBytes = 5;
constexpr int kContinue = 100;
constexpr int kFirstFinalStatus = 200;
constexpr int kSwitchingProtocols = 101;
constexpr int kLastStatus = 599;

// Whether a header continues on a further line. Parsers read such lines in
// different ways, which allows request smuggling.
bool
HasLineFolding(std::string_view aHead)
{
  return aHead.find("\r\n ") != std::string_view::npos ||
         aHead.find("\r\n\t") != std::string_view::npos;
}

// Whether a line feed has no carriage return before it. It ends a line for some
// parsers and not for others.
bool
HasBareLineFeed(std::string_view aHead)
{
  for (std::size_t i = 0; i < aHead.size(); ++i) {
    if (aHead[i] == '\n' && (i == 0 || aHead[i - 1] != '\r')) {
      return true;
    }
  }
  return false;
}

std::size_t
CountHeaders(const HttpHeaders& aHeaders, std::string_view aName)
{
  return static_cast<std::size_t>(
    std::ranges::count_if(aHeaders, [&](const HttpHeader& aHeader) {
      return SameHeaderName(aHeader.name, aName);
    }));
}

// Whether the headers define the end of the body unambiguously and, in a
// request, the host.
bool
HasUnambiguousFraming(const MessageHead& aHead, bool aIsRequest)
{
  const auto codings = CountHeaders(aHead.headers, "Transfer-Encoding");
  if (codings > 0) {
    const auto coding = FindHeader(aHead.headers, "Transfer-Encoding");
    if (codings > 1 || !SameHeaderName(coding, "chunked") ||
        CountHeaders(aHead.headers, "Content-Length") > 0) {
      return false;
    }
  }
  return !aIsRequest || CountHeaders(aHead.headers, "Host") == 1;
}

// Whether the bytes begin with the whole header line of a chunk that is not the
// last one, which also waits for the trailers. The line end of the chunk before
// it may come first.
bool
HasCompleteChunkHeader(std::string_view aBytes)
{
  constexpr std::string_view kLineEnd = "\r\n";
  if (aBytes.starts_with(kLineEnd)) {
    aBytes.remove_prefix(kLineEnd.size());
  }
  const auto line = aBytes.substr(0, aBytes.find(kLineEnd));
  const auto digit = line.find_first_not_of('0');
  return line.size() < aBytes.size() && digit != std::string_view::npos &&
         std::isxdigit(static_cast<unsigned char>(line[digit])) != 0;
}

} // namespace

class MessageReader::Parser
{
public:
  virtual ~Parser() = default;
  // Returns the number of bytes that were parsed.
  virtual tl::expected<std::size_t, MessageFault> Put(
    std::string_view aBytes) = 0;
  virtual tl::expected<void, MessageFault> PutEof() = 0;

  MessageHead head;
  std::string body;
  bool hasHead = false;
  // Some of the body was parsed.
  bool hasChunk = false;
  bool isDone = false;
};

template<bool IsRequest>
class MessageReader::BeastParser
  : public MessageReader::Parser
  , private http::basic_parser<IsRequest>
{
public:
  BeastParser(std::size_t aMaxHead, std::size_t aMaxBody, bool aNoBody)
  {
    this->eager(true);
    this->header_limit(static_cast<std::uint32_t>(std::min<std::size_t>(
      aMaxHead, std::numeric_limits<std::uint32_t>::max())));
    this->body_limit(aMaxBody);
    this->skip(aNoBody);
  }

  tl::expected<std::size_t, MessageFault> Put(std::string_view aBytes) override
  {
    beast::error_code ec;
    const auto n =
      this->put(boost::asio::const_buffer(aBytes.data(), aBytes.size()), ec);
    if (ec && ec != http::error::need_more) {
      return tl::make_unexpected(ToMessageFault(ec));
    }
    return n;
  }

  tl::expected<void, MessageFault> PutEof() override
  {
    beast::error_code ec;
    this->put_eof(ec);
    if (ec || !isDone) {
      return tl::make_unexpected(MessageFault::kTruncated);
    }
    return {};
  }

private:
  static MessageFault ToMessageFault(const beast::error_code& aCode)
  {
    if (aCode == http::error::body_limit) {
      return MessageFault::kBodyTooLarge;
    }
    return aCode == http::error::header_limit ? MessageFault::kHeadTooLarge
                                              : MessageFault::kMalformed;
  }

  void on_request_impl(http::verb /*aVerb*/,
                       beast::string_view aMethod,
                       beast::string_view aTarget,
                       int /*aVersion*/,
                       beast::error_code& /*aCode*/) override
  {
    head.method = std::string(aMethod);
    head.target = std::string(aTarget);
  }

  void on_response_impl(int aStatus,
                        beast::string_view aReason,
                        int /*aVersion*/,
                        beast::error_code& /*aCode*/) override
  {
    head.status = aStatus;
    head.reason = std::string(aReason);
  }

  void on_field_impl(http::field /*aField*/,
                     beast::string_view aName,
                     beast::string_view aValue,
                     beast::error_code& /*aCode*/) override
  {
    // Trailers are no headers: what they say was not judged with the head.
    if (!hasHead) {
      head.headers.push_back({ std::string(aName), std::string(aValue) });
    }
  }

  void on_header_impl(beast::error_code& aCode) override
  {
    if (!HasUnambiguousFraming(head, IsRequest)) {
      aCode = http::error::bad_transfer_encoding;
      return;
    }
    head.keepAlive = this->keep_alive();
    head.endsWithConnection = this->need_eof();
    if (const auto n = this->content_length()) {
      head.bodyBytes = *n;
    }
    hasHead = true;
  }

  void on_body_init_impl(const boost::optional<std::uint64_t>& /*aLength*/,
                         beast::error_code& /*aCode*/) override
  {
  }

  std::size_t on_body_impl(beast::string_view aBytes,
                           beast::error_code& /*aCode*/) override
  {
    body.append(aBytes.data(), aBytes.size());
    return aBytes.size();
  }

  void on_chunk_header_impl(std::uint64_t /*aSize*/,
                            beast::string_view /*aExtensions*/,
                            beast::error_code& /*aCode*/) override
  {
  }

  std::size_t on_chunk_body_impl(std::uint64_t /*aRemaining*/,
                                 beast::string_view aBytes,
                                 beast::error_code& /*aCode*/) override
  {
    body.append(aBytes.data(), aBytes.size());
    return aBytes.size();
  }

  void on_finish_impl(beast::error_code& /*aCode*/) override { isDone = true; }
};

MessageReader::MessageReader(Options aOptions)
  : mOptions(aOptions)
{
  ResetParser();
}

MessageReader::~MessageReader() = default;

void
MessageReader::ResetParser()
{
  if (mOptions.side == Side::kRequests) {
    mParser = std::make_unique<BeastParser<true>>(
      mOptions.maxHeadBytes, mOptions.maxBodyBytes, false);
  } else {
    mParser = std::make_unique<BeastParser<false>>(
      mOptions.maxHeadBytes, mOptions.maxBodyBytes, mNoBody);
  }
}

tl::expected<void, MessageFault>
MessageReader::Feed(std::string_view aBytes)
{
  if (mBuffer.empty()) {
    // Most bytes are parsed at once, so that they need no copy.
    auto rest = aBytes;
    const auto parsed = Parse(rest);
    mBuffer.assign(rest);
    return parsed;
  }
  mBuffer.append(aBytes);
  std::string_view rest(mBuffer);
  const auto parsed = Parse(rest);
  mBuffer.erase(0, mBuffer.size() - rest.size());
  if (mBuffer.empty()) {
    std::string().swap(mBuffer);
  }
  return parsed;
}

tl::expected<void, MessageFault>
MessageReader::Parse(std::string_view& aBytes)
{
  if (!HasHead()) {
    const auto parsed = ParseHead(aBytes);
    if (!parsed || !HasHead()) {
      return parsed;
    }
  }
  return ParseBody(aBytes);
}

void
MessageReader::BufferBytes(std::string_view aBytes)
{
  mBuffer.append(aBytes);
}

tl::expected<void, MessageFault>
MessageReader::ParseHead(std::string_view& aBytes)
{
  const auto end = aBytes.find(kEndOfHead);
  const auto size =
    end == std::string_view::npos ? aBytes.size() : end + kEndOfHead.size();
  if (size > mOptions.maxHeadBytes) {
    return tl::make_unexpected(MessageFault::kHeadTooLarge);
  }
  if (end == std::string_view::npos) {
    return {};
  }
  const auto head = aBytes.substr(0, size);
  if (HasLineFolding(head) || HasBareLineFeed(head)) {
    return tl::make_unexpected(MessageFault::kMalformed);
  }
  const auto used = mParser->Put(head);
  if (!used) {
    return tl::make_unexpected(used.error());
  }
  if (!mParser->hasHead) {
    // The parser waits for more of a start line that has ended.
    return tl::make_unexpected(MessageFault::kMalformed);
  }
  aBytes.remove_prefix(size);
  mHeadBytes = size;
  const auto status = mParser->head.status;
  if (mOptions.side == Side::kResponses &&
      (status < kContinue || status > kLastStatus)) {
    return tl::make_unexpected(MessageFault::kMalformed);
  }
  if (mOptions.side == Side::kResponses && status >= kContinue &&
      status < kFirstFinalStatus) {
    // Skips an interim response. Status 101 is a fault, because no request asks
    // to switch protocols.
    if (status == kSwitchingProtocols ||
        ++mInterimResponses > kMaxInterimResponses) {
      return tl::make_unexpected(MessageFault::kMalformed);
    }
    ResetParser();
    return ParseHead(aBytes);
  }
  return {};
}

tl::expected<void, MessageFault>
MessageReader::ParseBody(std::string_view& aBytes)
{
  const bool isChunked =
    !mParser->head.bodyBytes && !mParser->head.endsWithConnection;
  while (!mParser->isDone && !aBytes.empty()) {
    if (isChunked && !mParser->hasChunk && aBytes.front() == '0' &&
        aBytes.size() < kMinChunkedBytes) {
      break;
    }
    const auto used = mParser->Put(aBytes);
    if (!used) {
      return tl::make_unexpected(used.error());
    }
    aBytes.remove_prefix(*used);
    // The parser stops before a whole chunk header only if it can't read it.
    // Trying again would count the chunk against the body limit once more.
    if (isChunked && !mParser->isDone && HasCompleteChunkHeader(aBytes)) {
      return tl::make_unexpected(MessageFault::kMalformed);
    }
    if (*used == 0) {
      break;
    }
    mParser->hasChunk = true;
  }
  // The parser waits for the end of a chunk's header or of the trailers.
  if (!mParser->isDone && aBytes.size() > mOptions.maxHeadBytes) {
    return tl::make_unexpected(MessageFault::kMalformed);
  }
  return {};
}

tl::expected<void, MessageFault>
MessageReader::FeedEof()
{
  if (Done()) {
    return {};
  }
  if (!HasHead()) {
    return tl::make_unexpected(MessageFault::kTruncated);
  }
  return mParser->PutEof();
}

bool
MessageReader::HasHead() const
{
  return mParser->hasHead;
}

bool
MessageReader::Done() const
{
  return mParser->isDone;
}

const MessageHead&
MessageReader::Head() const
{
  return mParser->head;
}

std::string
MessageReader::TakeBody()
{
  return std::exchange(mParser->body, {});
}

std::size_t
MessageReader::BufferedBytes() const
{
  return mBuffer.size();
}

std::size_t
MessageReader::BodyBytes() const
{
  return mParser->body.size();
}

std::size_t
MessageReader::BodyCapacity() const
{
  const auto& body = mParser->body;
  return body.empty() && body.capacity() <= std::string().capacity()
           ? 0
           : body.capacity();
}

std::size_t
MessageReader::HeldBytes() const
{
  // The head is held as a list of headers.
  constexpr std::size_t kHeadFactor = 2;
  // A string has no memory of its own up to this capacity.
  static const std::size_t inlineBytes = std::string().capacity();
  const auto buffered =
    mBuffer.capacity() > inlineBytes ? mBuffer.capacity() : 0;
  return buffered + BodyCapacity() + kHeadFactor * mHeadBytes;
}

void
MessageReader::ReserveBody(std::size_t aBytes)
{
  mParser->body.reserve(aBytes);
}

void
MessageReader::Discard()
{
  std::string().swap(mBuffer);
  Next();
}

void
MessageReader::Next()
{
  mHeadBytes = 0;
  mNoBody = false;
  mInterimResponses = 0;
  ResetParser();
}

void
MessageReader::ExpectNoBody()
{
  mNoBody = true;
  ResetParser();
}

void
MessageReader::SetLimits(std::size_t aMaxHeadBytes, std::size_t aMaxBodyBytes)
{
  mOptions.maxHeadBytes = aMaxHeadBytes;
  mOptions.maxBodyBytes = aMaxBodyBytes;
}

} // namespace firefly
