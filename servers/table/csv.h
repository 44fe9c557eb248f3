#pragma once

// Comma-separated values as in RFC 4180, the format that spreadsheets exchange.

#include <cstddef>
#include <string>
#include <string_view>
#include <vector>

#include <tl/expected.hpp>

namespace firefly {

// A record and the line on which it starts, counted from 1.
struct CsvRecord
{
  std::size_t line = 0;
  std::vector<std::string> fields;
};

// The place and kind of a violation of the quoting rules.
struct CsvError
{
  std::size_t line = 0;
  std::string message;
};

// Splits a text into records. Lines may end in CRLF, LF or CR. A byte-order
// mark is skipped, and so are records whose fields are all empty, since
// spreadsheets leave such records below the data.
tl::expected<std::vector<CsvRecord>, CsvError>
ParseCsv(std::string_view aText);

// Formats a record with its line end, CRLF. Fields are quoted where necessary.
std::string
FormatCsvRecord(const std::vector<std::string>& aFields);

} // namespace firefly
