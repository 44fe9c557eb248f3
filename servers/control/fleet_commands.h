#pragma once

// The commands that look at the system and those that drain backend servers.

#include <string>
#include <vector>

#include "servers/control/control.h"

namespace firefly {

// What an engine is told to load.
struct LoadedModel
{
  ModelId model;
  std::string version; // empty for the newest
  std::string adapter; // empty for none
};

// Asks entries and stewards what they know.
class FleetCommands
{
public:
  // Both must outlive the object.
  FleetCommands(Fetcher& aFetcher, const ControlOptions& aOptions)
    : mFetcher(aFetcher)
    , mOptions(aOptions)
  {
  }

  // Entries, members, backend servers, queues, limits and open bookings.
  ExitCode Status();

  // The leading steward's view of each backend server.
  ExitCode Fleet();

  // Takes a backend server out of service, or back in.
  ExitCode Drain(const BackendId& aBackend);
  ExitCode Undrain(const BackendId& aBackend);

  // Gives an engine another role, or has it load a model.
  ExitCode ChangeRole(const BackendId& aBackend, const std::string& aRole);
  ExitCode Load(const BackendId& aBackend, const LoadedModel& aModel);

  // What became of a request.
  ExitCode Why(const RequestId& aRequest);

  // The state of a booking. Without a service, the key is the ledger's whole
  // key, as status shows it; with one it is the caller's own.
  ExitCode Booking(const BookingKey& aKey,
                   const ServiceId& aService,
                   const CustomerId& aCustomer);

private:
  ExitCode Order(const std::string& aVerb,
                 const BackendId& aBackend,
                 const std::string& aBody);

  // Prints the answers of those entries that know the thing.
  ExitCode ShowKnown(const std::string& aPath, const std::string& aWhat);

  Fetcher& mFetcher;
  const ControlOptions& mOptions;
};

} // namespace firefly
