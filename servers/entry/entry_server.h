#pragma once

// The entry daemon: connects its components, starts them and stops them.

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

  // Loads the charts, creates the policies, opens the ports and starts the
  // periodic tasks.
  tl::expected<void, EntryError> Start();

  // Reports unready; waits for the unready grace, for running requests and for
  // bookings being recorded, up to the drain timeout in total; leaves the
  // membership and then calls aOnDrained once. Call it once.
  void Drain(std::function<void()> aOnDrained);

private:
  class Impl;
  std::unique_ptr<Impl> mImpl;
};

} // namespace firefly
