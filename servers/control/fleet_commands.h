#pragma once

// The commands that show the state of the system, and those that send orders
// for backend servers to the leading steward.

#include <string>
#include <vector>

#include "servers/control/control.h"

namespace firefly {

// The model that an engine is ordered to load.
struct LoadedModel
{
  ModelId model;
  std::string version; // empty for the newest
  std::string adapter; // empty for none
};

// Queries entries and stewards and prints the results.
class FleetCommands
{
public:
  // Both must outlive the object.
  FleetCommands(Fetcher& aFetcher, const ControlOptions& aOptions)
    : mFetcher(aFetcher)
    , mOptions(aOptions)
  {
  }

  // Prints entries, members, backend servers, queues, limits and bookings of
  // unknown outcome.
  ExitCode Status();

  // Prints the leading steward's view of each backend server.
  ExitCode Fleet();

  // Takes a backend server out of service, or returns it to service.
  ExitCode Drain(const BackendId& aBackend);
  ExitCode Undrain(const BackendId& aBackend);

  // Orders an engine to change its role or to load a model.
  ExitCode ChangeRole(const BackendId& aBackend, const std::string& aRole);
  ExitCode Load(const BackendId& aBackend, const LoadedModel& aModel);

  // Prints the steps and the outcome of a request.
  ExitCode Why(const RequestId& aRequest);

  // Prints the state of a booking. Without a service, the key is the ledger's
  // complete key, as Status prints it; with a service, it is the caller's own
  // key.
  ExitCode Booking(const BookingKey& aKey,
                   const ServiceId& aService,
                   const CustomerId& aCustomer);

private:
  ExitCode SendOrder(const std::string& aVerb,
                     const BackendId& aBackend,
                     const std::string& aBody);

  // Queries all entries for the path and prints the answers of those that know
  // the object. aWhat names the object in error messages.
  ExitCode PrintFromEntries(const std::string& aPath, const std::string& aWhat);

  Fetcher& mFetcher;
  const ControlOptions& mOptions;
};

} // namespace firefly
