#pragma once

// The commands of "fireflyctl table".

#include <cstdint>
#include <optional>
#include <string>

#include "servers/control/control.h"
#include "servers/table/operators_table.h"

namespace firefly {

// Exports, edits and watches the operators' table through the entries.
class TableCommands
{
public:
  // Both must outlive the object.
  TableCommands(Fetcher& aFetcher, const ControlOptions& aOptions)
    : mFetcher(aFetcher)
    , mOptions(aOptions)
  {
  }

  // Prints the newest table as CSV, its version to the error output.
  ExitCode Export();

  // Edits the base version, or the newest, and waits for confirmations.
  ExitCode Apply(const std::string& aCsv, std::optional<std::uint64_t> aBase);

  // Shows what the text would change.
  ExitCode Diff(const std::string& aCsv);

  // Lists the versions that an entry has seen.
  ExitCode History();

  // Waits until all live entries have the version, or names those that lack
  // it when the time is up.
  ExitCode Wait(std::uint64_t aVersion);

private:
  struct Newest
  {
    std::uint64_t version = 0;
    std::string csv;
  };
  struct Confirmations
  {
    std::vector<std::string> confirmed;
    std::vector<std::string> pending;
    bool answered = false;
  };

  std::optional<Newest> ReadNewest();
  bool CheckRows(const std::string& aCsv);
  tl::expected<std::uint64_t, ExitCode> Post(const std::string& aCsv,
                                             std::uint64_t aBase);
  tl::expected<std::uint64_t, ExitCode> ReadReply(const HttpResult& aReply);
  tl::expected<std::uint64_t, ExitCode> Settle(const std::string& aCsv,
                                               std::uint64_t aBase);
  Confirmations ReadConfirmations(std::uint64_t aVersion);
  void PrintConfirmations(std::uint64_t aVersion,
                          const Confirmations& aConfirmations);

  Fetcher& mFetcher;
  const ControlOptions& mOptions;
};

} // namespace firefly
