#pragma once

// The operators' table: weights and limits by service, request type and
// customer. Its text form is CSV, so that operators can edit it in a
// spreadsheet.

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <tuple>
#include <vector>

#include <tl/expected.hpp>

#include "core/clock.h"
#include "core/ids.h"
#include "servers/settings/settings.h"

namespace firefly {

// A row. The row of customer "*" applies to all customers of the request type
// together, a named customer's row to the requests of that customer. If both
// exist, a request must be within both sets of limits.
struct TableRow
{
  ServiceId service;
  RequestType requestType;
  CustomerId customer;
  // Relative share of a backend server's time when the demand of all rows
  // exceeds it. A row of weight 0 gets only time that no other row uses.
  double weight = 1;
  std::optional<std::uint32_t> maxConcurrent; // requests, over all entries
  std::optional<double> ratePerSecond;        // new requests, over all entries
  std::optional<double> worth;                // overrides the settings
  std::optional<Duration> lateAfter;          // overrides the settings

  bool operator==(const TableRow&) const = default;
};

// A complete table; its rows are sorted by key.
class OperatorsTable
{
public:
  using Key = std::tuple<ServiceId, RequestType, CustomerId>;

  // The customer "*" of the rows that apply to all customers together.
  static const CustomerId& AnyCustomer();
  static Key KeyOf(const TableRow& aRow);

  // Adds a row. False, without a change, if a row with the same key exists.
  bool Add(TableRow aRow);

  // The row with that key, or null.
  [[nodiscard]] const TableRow* Find(const ServiceId& aService,
                                     const RequestType& aType,
                                     const CustomerId& aCustomer) const;

  [[nodiscard]] const std::map<Key, TableRow>& Rows() const { return mRows; }

  bool operator==(const OperatorsTable&) const = default;

private:
  std::map<Key, TableRow> mRows;
};

// An error in a cell or line of a table's text.
struct TableProblem
{
  std::size_t line = 0;
  std::string column; // empty if the error concerns the whole line
  std::string message;

  // The error as one line of text.
  [[nodiscard]] std::string Text() const;
};

using TableProblems = std::vector<TableProblem>;

// Parses a table and reports all of its errors. With settings, the service and
// request type of each row must exist in them. Without settings, these names
// are not checked: a table that was already accepted takes precedence over a
// host's settings, which may be older.
tl::expected<OperatorsTable, TableProblems>
ParseTable(std::string_view aCsv, const Settings* aSettings);

// The table as CSV: a header line and a line for each row.
std::string
FormatTable(const OperatorsTable& aTable);

// A table with one row for each request type of the settings, as the initial
// content.
OperatorsTable
MakeDefaultTable(const Settings& aSettings);

// A hash of the table's content, the same on all hosts.
std::uint64_t
DigestOf(const OperatorsTable& aTable);

enum class RowChangeKind
{
  kAdded,
  kRemoved,
  kChanged,
};

// A cell that differs. An empty text means that the cell has no value.
struct CellChange
{
  std::string column;
  std::string before;
  std::string after;

  bool operator==(const CellChange&) const = default;
};

// A row that differs between two tables.
struct RowChange
{
  RowChangeKind kind = RowChangeKind::kChanged;
  OperatorsTable::Key key;
  std::vector<CellChange> cells; // of the columns after the key
};

// The changes that turn the first table into the second.
std::vector<RowChange>
DiffTables(const OperatorsTable& aBefore, const OperatorsTable& aAfter);

// The changes as text, one line for each.
std::string
FormatDiff(const std::vector<RowChange>& aChanges);

} // namespace firefly
