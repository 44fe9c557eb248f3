#pragma once

// The operators' table: weights and limits by service, request type and
// customer. Its text form is CSV, which opens in a spreadsheet.

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

// One row. A row of the customer "*" speaks of all customers of the request
// type together, a named customer's row of this customer's requests alone; both
// sets of limits hold.
struct TableRow
{
  ServiceId service;
  RequestType requestType;
  CustomerId customer;
  // Share of a backend server's time against other rows, when all want more
  // than there is. Zero takes only what nobody else wants.
  double weight = 1;
  std::optional<std::uint32_t> maxConcurrent; // requests at once, all entries
  std::optional<double> ratePerSecond;        // new requests, all entries
  std::optional<double> worth;                // instead of the settings' value
  std::optional<Duration> lateAfter;          // instead of the settings' value

  bool operator==(const TableRow&) const = default;
};

// A whole table, in order of its keys.
class OperatorsTable
{
public:
  using Key = std::tuple<ServiceId, RequestType, CustomerId>;

  // The customer of the rows that speak of all customers together.
  static const CustomerId& AnyCustomer();
  static Key KeyOf(const TableRow& aRow);

  // False, and no change, if there is a row of that key.
  bool Add(TableRow aRow);

  // The row of that key, or null.
  [[nodiscard]] const TableRow* Find(const ServiceId& aService,
                                     const RequestType& aType,
                                     const CustomerId& aCustomer) const;

  [[nodiscard]] const std::map<Key, TableRow>& Rows() const { return mRows; }

  bool operator==(const OperatorsTable&) const = default;

private:
  std::map<Key, TableRow> mRows;
};

// What is wrong with one cell or line of a table's text.
struct TableProblem
{
  std::size_t line = 0;
  std::string column; // empty when the line as a whole is wrong
  std::string message;

  // As a line for the operator.
  [[nodiscard]] std::string Text() const;
};

using TableProblems = std::vector<TableProblem>;

// Reads a table and reports all that is wrong with it. With settings, each row
// must speak of one of their services and request types; without them, such
// rows pass, since an accepted table goes before a host's older settings.
tl::expected<OperatorsTable, TableProblems>
ParseTable(std::string_view aCsv, const Settings* aSettings);

// The table as CSV: a header line and a line for each row.
std::string
FormatTable(const OperatorsTable& aTable);

// A table with one row for each request type of the settings, as a start.
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

// One cell that differs; empty texts stand for no value.
struct CellChange
{
  std::string column;
  std::string before;
  std::string after;

  bool operator==(const CellChange&) const = default;
};

// One row that differs between two tables.
struct RowChange
{
  RowChangeKind kind = RowChangeKind::kChanged;
  OperatorsTable::Key key;
  std::vector<CellChange> cells; // of the columns behind the key
};

// What must change in the first table to give the second.
std::vector<RowChange>
DiffTables(const OperatorsTable& aBefore, const OperatorsTable& aAfter);

// One line for each change.
std::string
FormatDiff(const std::vector<RowChange>& aChanges);

} // namespace firefly
