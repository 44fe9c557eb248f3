#pragma once

// The entry daemon: wires its tasks together, and starts and stops them.

#include <functional>
#include <memory>
#include <string>

#include <tl/expected.hpp>

#include "core/state_chart.h"
#include "servers/http/asio_executor.h"
#include "servers/settings/settings.h"

namespace firefly {

// Why the entry could not start.
struct EntryError
{
  std::string message;
};

class EntryServer
{
public:
  // The executor and the settings must outlive the server.
  EntryServer(AsioExecutor& aExecutor, const Settings& aSettings);
  ~EntryServer();
  EntryServer(const EntryServer&) = delete;
  EntryServer& operator=(const EntryServer&) = delete;

  // Loads the charts, makes the policies and opens the ports.
  tl::expected<void, EntryError> Start();

  // Goes unready, finishes what runs, leaves, then calls back once.
  void Drain(std::function<void()> aOnDrained);

private:
  class Impl;
  std::unique_ptr<Impl> mImpl;
};

} // namespace firefly
