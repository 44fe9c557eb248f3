#pragma once

// Comma-separated values as in RFC 4180, the form that spreadsheets exchange.

#include <cstddef>
#include <string>
#include <string_view>
#include <vector>

#include <tl/expected.hpp>

namespace firefly {

// One record and the line of the file that it starts on, counted from 1.
struct CsvRecord
{
  std::size_t line = 0;
  std::vector<std::string> fields;
};

// Where a text breaks the quoting rules.
struct CsvError
{
  std::size_t line = 0;
  std::string message;
};

// Splits a text into records. Line ends may be CRLF or LF, a byte-order mark
// is skipped, and so are records whose fields are all empty, which spreadsheets
// leave below the data.
tl::expected<std::vector<CsvRecord>, CsvError>
ParseCsv(std::string_view aText);

// One record with its line end, CRLF; fields are quoted where they need it.
std::string
FormatCsvRecord(const std::vector<std::string>& aFields);

} // namespace firefly
