#pragma once

// The subcommands of "fireflyctl table".

#include <cstdint>
#include <optional>
#include <string>

#include "servers/control/control.h"
#include "servers/table/operators_table.h"

namespace firefly {

// Exports, edits and compares the operators' table through the entries.
class TableCommands
{
public:
  // Both must outlive the object.
  TableCommands(Fetcher& aFetcher, const ControlOptions& aOptions)
    : mFetcher(aFetcher)
    , mOptions(aOptions)
  {
  }

  // Prints the newest table as CSV, and its version to the error stream.
  ExitCode Export();

  // Replaces the base version, by default the newest one, and waits until all
  // live entries have confirmed the new version.
  ExitCode Apply(const std::string& aCsv, std::optional<std::uint64_t> aBase);

  // Prints the changes that the CSV text would make to the newest table.
  ExitCode Diff(const std::string& aCsv);

  // Prints the version history of the entry with the longest one.
  ExitCode History();

  // Waits until all live entries have the version. On timeout, prints the
  // entries that lack it.
  ExitCode Wait(std::uint64_t aVersion);

private:
  struct VersionedCsv
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

  std::optional<VersionedCsv> FetchNewest();
  bool CheckRows(const std::string& aCsv);
  tl::expected<std::uint64_t, ExitCode> PostEdit(const std::string& aCsv,
                                                 std::uint64_t aBase);
  tl::expected<std::uint64_t, ExitCode> ParseReply(const HttpResult& aReply);
  tl::expected<std::uint64_t, ExitCode> ResolveUnknownEdit(
    const std::string& aCsv,
    std::uint64_t aBase);
  Confirmations FetchConfirmations(std::uint64_t aVersion);
  void PrintConfirmations(std::uint64_t aVersion,
                          const Confirmations& aConfirmations);

  Fetcher& mFetcher;
  const ControlOptions& mOptions;
};

} // namespace firefly
