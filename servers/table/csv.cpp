#include "servers/table/csv.h"

#include <algorithm>

namespace firefly {

namespace {

constexpr std::string_view kByteOrderMark = "\xef\xbb\xbf";

// Parses CSV text record by record.
class CsvParser
{
public:
  explicit CsvParser(std::string_view aText)
    : mRest(aText)
  {
    if (mRest.starts_with(kByteOrderMark)) {
      mRest.remove_prefix(kByteOrderMark.size());
    }
  }

  [[nodiscard]] bool AtEnd() const { return mRest.empty(); }

  tl::expected<CsvRecord, CsvError> TakeRecord();

private:
  tl::expected<std::string, CsvError> TakeField();
  tl::expected<std::string, CsvError> TakeQuoted();
  std::string TakeUnquoted();

  // Consumes a line end; false if the next character does not start one.
  bool TakeLineEnd();

  bool TryConsume(char aChar)
  {
    if (mRest.empty() || mRest.front() != aChar) {
      return false;
    }
    mRest.remove_prefix(1);
    return true;
  }

  std::string_view mRest;
  std::size_t mLine = 1;
};

tl::expected<CsvRecord, CsvError>
CsvParser::TakeRecord()
{
  CsvRecord record{ .line = mLine, .fields = {} };
  while (true) {
    auto field = TakeField();
    if (!field) {
      return tl::unexpected(field.error());
    }
    record.fields.push_back(std::move(*field));
    if (TryConsume(',')) {
      continue;
    }
    if (AtEnd() || TakeLineEnd()) {
      return record;
    }
    return tl::unexpected(
      CsvError{ mLine, "text after a closing quote; must be a comma" });
  }
}

tl::expected<std::string, CsvError>
CsvParser::TakeField()
{
  if (TryConsume('"')) {
    return TakeQuoted();
  }
  std::string field = TakeUnquoted();
  if (field.find('"') != std::string::npos) {
    return tl::unexpected(CsvError{
      mLine,
      "quote inside an unquoted field; quote the field and double the quote" });
  }
  return field;
}

tl::expected<std::string, CsvError>
CsvParser::TakeQuoted()
{
  const std::size_t start = mLine;
  std::string field;
  while (!mRest.empty()) {
    const char next = mRest.front();
    mRest.remove_prefix(1);
    if (next == '"' && !TryConsume('"')) {
      return field;
    }
    mLine += next == '\n' ? 1 : 0;
    field += next;
  }
  return tl::unexpected(CsvError{ start, "unterminated quoted field" });
}

std::string
CsvParser::TakeUnquoted()
{
  const auto end = mRest.find_first_of(",\r\n");
  std::string field(mRest.substr(0, end));
  mRest.remove_prefix(field.size());
  return field;
}

bool
CsvParser::TakeLineEnd()
{
  const bool hasCarriageReturn = TryConsume('\r');
  if (!TryConsume('\n') && !hasCarriageReturn) {
    return false;
  }
  ++mLine;
  return true;
}

} // namespace

tl::expected<std::vector<CsvRecord>, CsvError>
ParseCsv(std::string_view aText)
{
  CsvParser parser(aText);
  std::vector<CsvRecord> records;
  while (!parser.AtEnd()) {
    auto record = parser.TakeRecord();
    if (!record) {
      return tl::unexpected(record.error());
    }
    if (!std::ranges::all_of(record->fields, &std::string::empty)) {
      records.push_back(std::move(*record));
    }
  }
  return records;
}

std::string
FormatCsvRecord(const std::vector<std::string>& aFields)
{
  std::string line;
  for (const auto& it : aFields) {
    line += &it == &aFields.front() ? "" : ",";
    if (it.find_first_of(",\"\r\n") == std::string::npos) {
      line += it;
      continue;
    }
    line += '"';
    for (const char next : it) {
      line.append(next == '"' ? 2 : 1, next);
    }
    line += '"';
  }
  return line + "\r\n";
}

} // namespace firefly
