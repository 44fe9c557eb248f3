#pragma once

// The table's HTTP interface for operators, which the entry serves under
// /admin/table on its admin port. docs/OPERATIONS.md has the JSON shapes.

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

// The table's store as the operators' interface sees it.
class TableStore
{
public:
  using ApplyCallback =
    std::function<void(tl::expected<TableVersion, coord::TableError>)>;

  virtual ~TableStore() = default;

  // The newest version known, or nothing before one is.
  [[nodiscard]] virtual std::optional<coord::Snapshot> Current() const = 0;

  // Edits the version that is named; the callback runs once.
  virtual void Apply(TableVersion aBase,
                     std::string aPayload,
                     ApplyCallback aCallback) = 0;
};

// The version of the table that a member has in force.
struct TableMember
{
  HostId host;
  bool live = false; // members that left or are dead need not confirm
  TableVersion version;
};

// What the entries have told of their tables.
class TableMembersView
{
public:
  virtual ~TableMembersView() = default;

  // All entries that are known, this one included.
  [[nodiscard]] virtual std::vector<TableMember> TableMembers() const = 0;
};

// Answers the operators' requests about the table. Keep one for each entry.
class TableAdmin
{
public:
  using Answer = std::function<void(HttpResponse)>;

  // The path that this serves, with all below it.
  static constexpr const char* kPath = "/admin/table";

  // All must outlive the object; an edit's answer may come after it is gone.
  TableAdmin(const Settings& aSettings,
             const Executor& aExecutor,
             TableStore& aStore,
             const TableMembersView& aMembers);

  // Answers a request whose path starts with kPath.
  void Handle(const HttpRequest& aRequest, const Answer& aAnswer);

  // Adds a version to the history. Call it from the table's observer.
  void Remember(const coord::Snapshot& aSnapshot);

private:
  struct Remembered
  {
    TableVersion version;
    WallTime seen;
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
  std::deque<Remembered> mHistory;
};

} // namespace firefly
