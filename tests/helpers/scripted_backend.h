#pragma once

// A backend server on loopback whose answers, byte for byte, come from a
// function of the test.

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "core/clock.h"
#include "servers/http/asio_executor.h"
#include "servers/http1/message_reader.h"

namespace firefly::testing {

// What happens to the connection after the reply has been sent.
enum class AfterReply : std::uint8_t
{
  kKeep,
  kClose,
  kReset,
};

struct ScriptedReply
{
  std::string bytes{};
  AfterReply after = AfterReply::kKeep;
  // With kKeep: bytes that are sent again and again, until the other side
  // closes the connection.
  std::string trickle{};
  Duration trickleInterval = std::chrono::milliseconds(10);
};

struct ScriptedRequest
{
  MessageHead head;
  std::string body;
  // The connection's number, in the order of acceptance from 1.
  std::size_t connection = 0;
};

class ScriptedBackend
{
public:
  using Script = std::function<ScriptedReply(const ScriptedRequest&)>;

  ScriptedBackend(AsioExecutor& aExecutor, Script aScript);
  ~ScriptedBackend();
  ScriptedBackend(const ScriptedBackend&) = delete;
  ScriptedBackend& operator=(const ScriptedBackend&) = delete;

  // Returns the address, such as "127.0.0.1:43211".
  [[nodiscard]] std::string Address() const;
  [[nodiscard]] std::uint16_t Port() const;

  // The complete requests that were received, in order.
  [[nodiscard]] const std::vector<ScriptedRequest>& Requests() const;
  [[nodiscard]] std::size_t AcceptedConnections() const;
  // The number of connections that the other side has closed or reset.
  [[nodiscard]] std::size_t ClosedConnections() const;
  // The bytes that were sent as trickle.
  [[nodiscard]] std::size_t TrickledBytes() const;

private:
  class Impl;
  std::shared_ptr<Impl> mImpl;
};

} // namespace firefly::testing
