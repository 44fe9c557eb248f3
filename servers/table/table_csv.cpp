#include "servers/table/operators_table.h"

#include "servers/table/csv.h"
#include "servers/table/table_columns.h"

namespace firefly {

namespace {

std::vector<std::string>
HeaderCells()
{
  std::vector<std::string> cells;
  for (const auto& it : TableColumns()) {
    cells.emplace_back(it.name);
  }
  return cells;
}

std::string
HeaderText()
{
  std::string text;
  for (const auto& it : TableColumns()) {
    text.append(text.empty() ? "" : ",").append(it.name);
  }
  return text;
}

std::string
InvalidCellMessage(const std::string& aText, std::string_view aAllowed)
{
  std::string message = '"' + aText + "\" is not allowed; ";
  return message.append(aAllowed);
}

// Converts CSV records to a table and collects all errors.
class TableReader
{
public:
  explicit TableReader(const Settings* aSettings)
    : mSettings(aSettings)
  {
  }

  void ReadHeader(const CsvRecord& aRecord);
  void ReadRow(const CsvRecord& aRecord);

  [[nodiscard]] const TableProblems& Problems() const { return mProblems; }
  [[nodiscard]] const OperatorsTable& Table() const { return mTable; }

private:
  bool ReadCells(const CsvRecord& aRecord, TableRow& aRow);
  bool CheckNames(const CsvRecord& aRecord, const TableRow& aRow);

  const Settings* mSettings;
  OperatorsTable mTable;
  TableProblems mProblems;
};

void
TableReader::ReadHeader(const CsvRecord& aRecord)
{
  if (aRecord.fields != HeaderCells()) {
    mProblems.push_back(
      { aRecord.line, "", "the first line must be " + HeaderText() });
  }
}

void
TableReader::ReadRow(const CsvRecord& aRecord)
{
  const std::size_t expected = TableColumns().size();
  if (aRecord.fields.size() != expected) {
    mProblems.push_back({ aRecord.line,
                          "",
                          std::to_string(aRecord.fields.size()) +
                            " fields; must be " + std::to_string(expected) });
    return;
  }
  TableRow row;
  if (!ReadCells(aRecord, row) || !CheckNames(aRecord, row)) {
    return;
  }
  if (!mTable.Add(row)) {
    mProblems.push_back({ aRecord.line,
                          "",
                          "duplicate row: an earlier line has the same "
                          "service, request_type and customer" });
  }
}

bool
TableReader::ReadCells(const CsvRecord& aRecord, TableRow& aRow)
{
  const std::size_t before = mProblems.size();
  for (std::size_t n = 0; n < TableColumns().size(); ++n) {
    const auto& column = TableColumns()[n];
    const auto& text = aRecord.fields[n];
    const auto allowed = column.read(text, aRow);
    if (!allowed.empty()) {
      mProblems.push_back({ aRecord.line,
                            std::string(column.name),
                            InvalidCellMessage(text, allowed) });
    }
  }
  return mProblems.size() == before;
}

bool
TableReader::CheckNames(const CsvRecord& aRecord, const TableRow& aRow)
{
  if (mSettings == nullptr) {
    return true;
  }
  const auto* service = mSettings->FindService(aRow.service);
  if (service == nullptr) {
    std::string allowed = "must be one of";
    for (const auto& it : mSettings->services) {
      allowed += ' ' + it.id.Value();
    }
    mProblems.push_back({ aRecord.line,
                          "service",
                          InvalidCellMessage(aRow.service.Value(), allowed) });
    return false;
  }
  if (mSettings->FindRequestType(aRow.service, aRow.requestType) != nullptr) {
    return true;
  }
  std::string allowed = "must be one of";
  for (const auto& it : service->requestTypes) {
    allowed += ' ' + it.name.Value();
  }
  mProblems.push_back(
    { aRecord.line,
      "request_type",
      InvalidCellMessage(aRow.requestType.Value(), allowed) });
  return false;
}

} // namespace

std::string
TableProblem::Text() const
{
  std::string text = "line " + std::to_string(line);
  if (!column.empty()) {
    text += ", column " + column;
  }
  return text + ": " + message;
}

tl::expected<OperatorsTable, TableProblems>
ParseTable(std::string_view aCsv, const Settings* aSettings)
{
  const auto records = ParseCsv(aCsv);
  if (!records) {
    return tl::unexpected(
      TableProblems{ { records.error().line, "", records.error().message } });
  }
  TableReader reader(aSettings);
  reader.ReadHeader(records->empty() ? CsvRecord{ .line = 1, .fields = {} }
                                     : records->front());
  if (reader.Problems().empty()) {
    for (std::size_t n = 1; n < records->size(); ++n) {
      reader.ReadRow((*records)[n]);
    }
  }
  if (!reader.Problems().empty()) {
    return tl::unexpected(reader.Problems());
  }
  return reader.Table();
}

std::string
FormatTable(const OperatorsTable& aTable)
{
  std::string text = FormatCsvRecord(HeaderCells());
  for (const auto& [key, row] : aTable.Rows()) {
    text += FormatCsvRecord(CellsOf(row));
  }
  return text;
}

} // namespace firefly
