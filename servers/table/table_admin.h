#pragma once

// The HTTP interface to the operators' table, which an entry serves below
// /admin/table on its admin port. docs/OPERATIONS.md describes the JSON bodies.

#include <cstdint>
#include <deque>
#include <functional>
#include <optional>
#include <string>
#include <vector>

#include <tl/expected.hpp>

#include "coord/versioned_table.h"
#include "core/executor.h"
#include "servers/http/http_message.h"
#include "servers/table/operators_table.h"

namespace firefly {

// Read and write access to the versioned table. An interface, so that tests can
// replace the log.
class TableStore
{
public:
  using ApplyCallback =
    std::function<void(tl::expected<TableVersion, coord::TableError>)>;

  virtual ~TableStore() = default;

  // The newest known version; nothing until the first one is known.
  [[nodiscard]] virtual std::optional<coord::Snapshot> Current() const = 0;

  // Replaces the content of version aBase; fails with kConflict if that is not
  // the newest version. The callback runs exactly once.
  virtual void Apply(TableVersion aBase,
                     std::string aPayload,
                     ApplyCallback aCallback) = 0;
};

// The version of the table that an entry currently applies.
struct TableMember
{
  HostId host;
  bool live = false; // false if it left or is dead; it need not confirm then
  TableVersion version;
};

// The table versions that the entries have reported.
class TableMembersView
{
public:
  virtual ~TableMembersView() = default;

  // All known entries, including this one.
  [[nodiscard]] virtual std::vector<TableMember> TableMembers() const = 0;
};

// Handles the HTTP requests below /admin/table. Each entry has one instance.
class TableAdmin
{
public:
  using Answer = std::function<void(HttpResponse)>;

  // The prefix of all paths that this class handles.
  static constexpr const char* kPath = "/admin/table";

  // All arguments must outlive the object. The answer to an edit may arrive
  // after the object is destroyed.
  TableAdmin(const Settings& aSettings,
             const Executor& aExecutor,
             TableStore& aStore,
             const TableMembersView& aMembers);

  // Handles a request whose path starts with kPath.
  void Handle(const HttpRequest& aRequest, const Answer& aAnswer);

  // Adds a version to the history, which keeps the newest 64 versions. The
  // table's observer calls this function for each version.
  void RecordVersion(const coord::Snapshot& aSnapshot);

private:
  struct HistoryEntry
  {
    TableVersion version;
    WallTime seenAt;
    std::string payload;
  };

  [[nodiscard]] HttpResponse GetTable() const;
  [[nodiscard]] HttpResponse GetHistory() const;
  [[nodiscard]] HttpResponse GetConfirmed(const HttpRequest& aRequest) const;
  void Edit(const HttpRequest& aRequest, const Answer& aAnswer);

  const Settings& mSettings;
  const Executor& mExecutor;
  TableStore& mStore;
  const TableMembersView& mMembers;
  std::deque<HistoryEntry> mHistory;
};

} // namespace firefly
