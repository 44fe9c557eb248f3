#pragma once

// The socket type of the servers on RESTinio. It parses what a connection
// receives before RESTinio does, with the same parser, so that the memory of a
// request is reserved before RESTinio allocates it. RESTinio itself has no
// means to hold a request back or to limit the memory of all connections.

#include <functional>
#include <memory>
#include <string>

#include <asio/buffer.hpp>
#include <asio/ip/tcp.hpp>
#include <http_parser.h>

#include "core/executor.h"
#include "servers/http/connection_gate.h"

namespace firefly {

class MeteredReader;

// What the connections of a server share.
struct MeteredServer
{
  std::shared_ptr<ConnectionGate> gate;
  Executor* executor = nullptr;
  std::size_t maxBodyBytes = 0;
  // Connections accepted since the start, also those that were denied.
  std::uint64_t accepted = 0;

  // The memory and the connection of the request that is being handed over to
  // the server's handler.
  std::shared_ptr<RequestMemory> currentMemory{};
  std::weak_ptr<MeteredReader> currentReader{};

  // Refused connections that are read until the client closes them.
  std::size_t lingering = 0;
  Timer checkTimer{};

  // Checks the gate until no connection waits.
  void ScheduleCheck();

  // The most that one request may take, and what a body takes.
  [[nodiscard]] std::size_t MaxRequestBytes() const;
  static std::size_t BodyCost(std::size_t aBytes);
};

// Reads the requests of one connection.
class MeteredReader
  : public GatedConnection
  , public std::enable_shared_from_this<MeteredReader>
{
public:
  using Done = std::function<void(const asio::error_code&, std::size_t)>;

  MeteredReader(std::shared_ptr<MeteredServer> aServer,
                asio::ip::tcp::socket& aSocket);
  ~MeteredReader() override;
  MeteredReader(const MeteredReader&) = delete;
  MeteredReader& operator=(const MeteredReader&) = delete;

  // Reads bytes of at most one request. The callback is called later.
  void Read(asio::mutable_buffer aBuffer, Done aDone);

  // The socket was closed; it may be destroyed then.
  void OnClosed();
  void Detach() { mSocket = nullptr; }

  void OnRoom() override;
  void Refuse(RefusalCause aCause) override;
  void Close() override;

private:
  static const http_parser_settings& ParserSettings();
  static MeteredReader& FromParser(http_parser* aParser);

  void BeginRequest();
  void StartRead();
  void OnBytes(std::size_t aCount);
  void Deliver();
  void Finish(const asio::error_code& aCode, std::size_t aCount);
  void PostFinish(const asio::error_code& aCode);
  void NoteBytes(std::size_t aCount);
  [[nodiscard]] std::size_t Cost() const;
  [[nodiscard]] bool IsTooLarge() const;

  std::shared_ptr<MeteredServer> mServer;
  asio::ip::tcp::socket* mSocket;
  ConnectionGate::Key mKey;
  http_parser mParser{};

  // Of the request that is being read.
  bool mStartsRequest = true;
  bool mIsComplete = false;
  bool mHasHead = false;
  std::size_t mHeadBytes = 0;
  std::uint64_t mDeclaredBytes = 0;
  std::uint64_t mBodyBytes = 0;
  std::size_t mChunks = 0;
  std::size_t mBytesSinceProgress = 0;

  // Of the read that is being handled.
  asio::mutable_buffer mBuffer;
  Done mDone;
  std::size_t mOffered = 0;
  bool mIsReading = false;
  // Bytes after the end of a request, for the next one.
  std::string mPending;
};

class MeteredSocket : public asio::ip::tcp::socket
{
public:
  using Base = asio::ip::tcp::socket;

  MeteredSocket(asio::io_context& aContext,
                std::shared_ptr<MeteredServer> aServer)
    : Base(aContext)
    , mServer(std::move(aServer))
  {
  }
  // RESTinio accepts the next connection with the socket from which it moved.
  MeteredSocket(MeteredSocket&& aOther) noexcept
    : Base(std::move(aOther))
    // NOLINTNEXTLINE(performance-move-constructor-init): see above.
    , mServer(aOther.mServer)
    , mReader(std::move(aOther.mReader))
  {
  }
  ~MeteredSocket()
  {
    if (mReader) {
      mReader->Detach();
    }
  }
  MeteredSocket(const MeteredSocket&) = delete;
  MeteredSocket& operator=(const MeteredSocket&) = delete;

  // NOLINTNEXTLINE(readability-identifier-naming): the name is asio's.
  template<typename Handler>
  void async_read_some(const asio::mutable_buffer& aBuffer, Handler&& aHandler)
  {
    if (!mReader) {
      mReader = std::make_shared<MeteredReader>(mServer, *this);
    }
    mReader->Read(aBuffer, std::forward<Handler>(aHandler));
  }

  // NOLINTNEXTLINE(readability-identifier-naming): the name is asio's.
  void close()
  {
    Base::close();
    if (mReader) {
      mReader->OnClosed();
    }
  }

private:
  std::shared_ptr<MeteredServer> mServer;
  std::shared_ptr<MeteredReader> mReader;
};

} // namespace firefly
