#include "servers/link/http2_connection.h"

#include <algorithm>
#include <array>
#include <charconv>
#include <cstring>
#include <string_view>
#include <utility>

#include <asio/buffer.hpp>
#include <asio/write.hpp>
#include <nghttp2/nghttp2.h>

namespace firefly {

namespace {

constexpr std::size_t kReadBufferBytes = 16U << 10U;
constexpr std::size_t kWriteBatchBytes = 64U << 10U;
constexpr std::int32_t kWindowBytes = 4 << 20;

nghttp2_nv
MakeHeader(std::string_view aName, std::string_view aValue)
{
  nghttp2_nv header{};
  // nghttp2 takes mutable pointers, but it only copies the data.
  header.name =
    reinterpret_cast<std::uint8_t*>(const_cast<char*>(aName.data()));
  header.namelen = aName.size();
  header.value =
    reinterpret_cast<std::uint8_t*>(const_cast<char*>(aValue.data()));
  header.valuelen = aValue.size();
  header.flags = NGHTTP2_NV_FLAG_NONE;
  return header;
}

std::string_view
ToStringView(const std::uint8_t* aData, std::size_t aLength)
{
  return { reinterpret_cast<const char*>(aData), aLength };
}

int
ParseStatus(std::string_view aText)
{
  int status = 0;
  std::from_chars(aText.data(), aText.data() + aText.size(), status);
  return status;
}

} // namespace

struct Http2Connection::Stream
{
  Http2Message incoming;
  std::string outgoing;
  std::size_t outgoingOffset = 0;
  bool headersSent = false; // the header frame left the session
  bool delivered = false; // the listener has the message, or no longer wants it
};

// The callbacks of nghttp2. Their user data is the connection.
struct Http2Connection::Callbacks
{
  static Http2Connection& Self(void* aUser)
  {
    return *static_cast<Http2Connection*>(aUser);
  }

  static int OnBeginHeaders(nghttp2_session* /*aSession*/,
                            const nghttp2_frame* aFrame,
                            void* aUser)
  {
    Self(aUser).GetOrCreateStream(aFrame->hd.stream_id);
    return 0;
  }

  static int OnHeader(nghttp2_session* /*aSession*/,
                      const nghttp2_frame* aFrame,
                      const std::uint8_t* aName,
                      std::size_t aNameLength,
                      const std::uint8_t* aValue,
                      std::size_t aValueLength,
                      std::uint8_t /*aFlags*/,
                      void* aUser)
  {
    Stream& stream = Self(aUser).GetOrCreateStream(aFrame->hd.stream_id);
    const std::string_view name = ToStringView(aName, aNameLength);
    const std::string_view value = ToStringView(aValue, aValueLength);
    if (name == ":path") {
      stream.incoming.path = value;
    } else if (name == ":status") {
      stream.incoming.status = ParseStatus(value);
    }
    return 0;
  }

  static int OnData(nghttp2_session* aSession,
                    std::uint8_t /*aFlags*/,
                    std::int32_t aStream,
                    const std::uint8_t* aData,
                    std::size_t aLength,
                    void* aUser)
  {
    Http2Connection& self = Self(aUser);
    Stream& stream = self.GetOrCreateStream(aStream);
    if (stream.incoming.body.size() + aLength > self.mOptions.maxBodyBytes) {
      stream.incoming.body.clear();
      nghttp2_submit_rst_stream(
        aSession, NGHTTP2_FLAG_NONE, aStream, NGHTTP2_ENHANCE_YOUR_CALM);
      return 0;
    }
    stream.incoming.body.append(ToStringView(aData, aLength));
    return 0;
  }

  static int OnFrameReceived(nghttp2_session* /*aSession*/,
                             const nghttp2_frame* aFrame,
                             void* aUser)
  {
    const bool carriesMessage =
      aFrame->hd.type == NGHTTP2_HEADERS || aFrame->hd.type == NGHTTP2_DATA;
    const bool last = (aFrame->hd.flags & NGHTTP2_FLAG_END_STREAM) != 0;
    if (carriesMessage && last) {
      Self(aUser).FinishMessage(aFrame->hd.stream_id);
    }
    return 0;
  }

  static int OnFrameSent(nghttp2_session* /*aSession*/,
                         const nghttp2_frame* aFrame,
                         void* aUser)
  {
    if (aFrame->hd.type == NGHTTP2_HEADERS) {
      Self(aUser).GetOrCreateStream(aFrame->hd.stream_id).headersSent = true;
    }
    return 0;
  }

  static int OnStreamClose(nghttp2_session* /*aSession*/,
                           std::int32_t aStream,
                           std::uint32_t aErrorCode,
                           void* aUser)
  {
    Self(aUser).CloseStream(aStream, aErrorCode);
    return 0;
  }

  static ssize_t ReadBody(nghttp2_session* /*aSession*/,
                          std::int32_t /*aStream*/,
                          std::uint8_t* aBuffer,
                          std::size_t aLength,
                          std::uint32_t* aFlags,
                          nghttp2_data_source* aSource,
                          void* /*aUser*/)
  {
    auto& stream = *static_cast<Stream*>(aSource->ptr);
    const std::size_t left = stream.outgoing.size() - stream.outgoingOffset;
    const std::size_t count = std::min(left, aLength);
    std::memcpy(aBuffer, stream.outgoing.data() + stream.outgoingOffset, count);
    stream.outgoingOffset += count;
    if (stream.outgoingOffset == stream.outgoing.size()) {
      *aFlags |= NGHTTP2_DATA_FLAG_EOF;
    }
    return static_cast<ssize_t>(count);
  }
};

Http2Connection::Http2Connection(AsioExecutor& aExecutor,
                                 asio::ip::tcp::socket aSocket,
                                 Options aOptions,
                                 Http2Listener& aListener)
  : mExecutor(aExecutor)
  , mSocket(std::move(aSocket))
  , mOptions(aOptions)
  , mListener(&aListener)
{
  mReadBuffer.resize(kReadBufferBytes);
  OpenSession();
}

Http2Connection::~Http2Connection()
{
  nghttp2_session_del(mSession);
}

void
Http2Connection::OpenSession()
{
  nghttp2_session_callbacks* callbacks = nullptr;
  nghttp2_session_callbacks_new(&callbacks);
  nghttp2_session_callbacks_set_on_begin_headers_callback(
    callbacks, Callbacks::OnBeginHeaders);
  nghttp2_session_callbacks_set_on_header_callback(callbacks,
                                                   Callbacks::OnHeader);
  nghttp2_session_callbacks_set_on_data_chunk_recv_callback(callbacks,
                                                            Callbacks::OnData);
  nghttp2_session_callbacks_set_on_frame_recv_callback(
    callbacks, Callbacks::OnFrameReceived);
  nghttp2_session_callbacks_set_on_frame_send_callback(callbacks,
                                                       Callbacks::OnFrameSent);
  nghttp2_session_callbacks_set_on_stream_close_callback(
    callbacks, Callbacks::OnStreamClose);
  if (mOptions.side == Side::kClient) {
    nghttp2_session_client_new(&mSession, callbacks, this);
  } else {
    nghttp2_session_server_new(&mSession, callbacks, this);
  }
  nghttp2_session_callbacks_del(callbacks);
}

Http2Connection::Stream&
Http2Connection::GetOrCreateStream(StreamNumber aStream)
{
  std::unique_ptr<Stream>& slot = mStreams[aStream];
  if (!slot) {
    slot = std::make_unique<Stream>();
  }
  return *slot;
}

void
Http2Connection::Start()
{
  std::error_code ec;
  mSocket.set_option(asio::ip::tcp::no_delay(true), ec);
  SubmitSettings();
  ScheduleFlush();
  SchedulePing();
  Read();
}

void
Http2Connection::SubmitSettings()
{
  const std::array<nghttp2_settings_entry, 2> settings{ {
    { NGHTTP2_SETTINGS_MAX_CONCURRENT_STREAMS, mOptions.maxStreams },
    { NGHTTP2_SETTINGS_INITIAL_WINDOW_SIZE, kWindowBytes },
  } };
  nghttp2_submit_settings(
    mSession, NGHTTP2_FLAG_NONE, settings.data(), settings.size());
  nghttp2_session_set_local_window_size(
    mSession, NGHTTP2_FLAG_NONE, 0, kWindowBytes);
}

StreamNumber
Http2Connection::SendRequest(const std::string& aPath, std::string aBody)
{
  if (mClosed) {
    return -1;
  }
  const std::array<nghttp2_nv, 4> headers{ {
    MakeHeader(":method", "POST"),
    MakeHeader(":scheme", "http"),
    MakeHeader(":authority", "firefly"),
    MakeHeader(":path", aPath),
  } };
  auto stream = std::make_unique<Stream>();
  stream->outgoing = std::move(aBody);
  nghttp2_data_provider body{};
  body.source.ptr = stream.get();
  body.read_callback = Callbacks::ReadBody;
  const StreamNumber number = nghttp2_submit_request(
    mSession, nullptr, headers.data(), headers.size(), &body, nullptr);
  if (number >= 0) {
    mStreams[number] = std::move(stream);
    ScheduleFlush();
  }
  return number;
}

void
Http2Connection::SendReply(StreamNumber aStream, int aStatus, std::string aBody)
{
  const auto it = mStreams.find(aStream);
  if (mClosed || it == mStreams.end()) {
    return;
  }
  const std::string status = std::to_string(aStatus);
  const std::array<nghttp2_nv, 1> headers{ { MakeHeader(":status", status) } };
  it->second->outgoing = std::move(aBody);
  nghttp2_data_provider body{};
  body.source.ptr = it->second.get();
  body.read_callback = Callbacks::ReadBody;
  nghttp2_submit_response(
    mSession, aStream, headers.data(), headers.size(), &body);
  ScheduleFlush();
}

void
Http2Connection::Cancel(StreamNumber aStream)
{
  const auto it = mStreams.find(aStream);
  if (mClosed || it == mStreams.end()) {
    return;
  }
  it->second->delivered = true;
  nghttp2_submit_rst_stream(
    mSession, NGHTTP2_FLAG_NONE, aStream, NGHTTP2_CANCEL);
  ScheduleFlush();
}

Http2Delivery
Http2Connection::Delivery(StreamNumber aStream) const
{
  const auto it = mStreams.find(aStream);
  const bool unsent = it != mStreams.end() && !it->second->headersSent;
  return unsent ? Http2Delivery::kNotSent : Http2Delivery::kMaybeSent;
}

void
Http2Connection::Close(const std::string& aReason)
{
  if (mClosed) {
    return;
  }
  mClosed = true;
  mPingTimer.Cancel();
  std::error_code ec;
  mSocket.close(ec);
  if (mListener != nullptr) {
    std::exchange(mListener, nullptr)->OnClosed(aReason);
  }
}

void
Http2Connection::Detach()
{
  mListener = nullptr;
  Close("detached");
}

void
Http2Connection::Read()
{
  auto self = shared_from_this();
  mSocket.async_read_some(
    asio::buffer(mReadBuffer),
    [self](const std::error_code& aError, std::size_t aCount) {
      if (self->mClosed) {
        return;
      }
      if (aError) {
        self->Close(aError.message());
        return;
      }
      self->ProcessBytes(aCount);
    });
}

void
Http2Connection::ProcessBytes(std::size_t aCount)
{
  mReceivedSincePing = true;
  const auto* data = reinterpret_cast<const std::uint8_t*>(mReadBuffer.data());
  const ssize_t processed = nghttp2_session_mem_recv(mSession, data, aCount);
  if (mClosed) {
    return;
  }
  if (processed < 0) {
    Close(nghttp2_strerror(static_cast<int>(processed)));
    return;
  }
  ScheduleFlush();
  Read();
}

void
Http2Connection::ScheduleFlush()
{
  if (mFlushScheduled || mClosed) {
    return;
  }
  mFlushScheduled = true;
  mExecutor.Post([self = shared_from_this()] {
    self->mFlushScheduled = false;
    self->Flush();
  });
}

void
Http2Connection::Flush()
{
  if (mWriting || mClosed) {
    return;
  }
  mWriteBuffer.clear();
  while (mWriteBuffer.size() < kWriteBatchBytes) {
    const std::uint8_t* data = nullptr;
    const ssize_t count = nghttp2_session_mem_send(mSession, &data);
    if (count <= 0) {
      break;
    }
    mWriteBuffer.append(ToStringView(data, static_cast<std::size_t>(count)));
  }
  if (mWriteBuffer.empty()) {
    return;
  }
  mWriting = true;
  asio::async_write(mSocket,
                    asio::buffer(mWriteBuffer),
                    [self = shared_from_this()](const std::error_code& aError,
                                                std::size_t /*aCount*/) {
                      self->mWriting = false;
                      if (aError) {
                        self->Close(aError.message());
                        return;
                      }
                      self->Flush();
                    });
}

void
Http2Connection::SchedulePing()
{
  mPingTimer =
    mExecutor.RunAfter(mOptions.pingInterval, [this] { SendPing(); });
}

void
Http2Connection::SendPing()
{
  mReceivedSincePing = false;
  nghttp2_submit_ping(mSession, NGHTTP2_FLAG_NONE, nullptr);
  ScheduleFlush();
  mPingTimer = mExecutor.RunAfter(mOptions.pingTimeout, [this] {
    if (!mReceivedSincePing) {
      Close("the peer sent no data within the PING timeout");
      return;
    }
    SchedulePing();
  });
}

void
Http2Connection::FinishMessage(StreamNumber aStream)
{
  Stream& stream = GetOrCreateStream(aStream);
  if (stream.delivered || mListener == nullptr) {
    return;
  }
  stream.delivered = true;
  mListener->OnMessage(aStream, std::move(stream.incoming));
}

void
Http2Connection::CloseStream(StreamNumber aStream, std::uint32_t aErrorCode)
{
  const auto it = mStreams.find(aStream);
  if (it == mStreams.end()) {
    return;
  }
  const bool refused = aErrorCode == NGHTTP2_REFUSED_STREAM;
  const Http2Delivery delivery =
    refused ? Http2Delivery::kNotSent : Delivery(aStream);
  const bool lost = !it->second->delivered;
  mStreams.erase(it);
  if (lost && mListener != nullptr) {
    mListener->OnStreamLost(aStream, delivery);
  }
}

} // namespace firefly
