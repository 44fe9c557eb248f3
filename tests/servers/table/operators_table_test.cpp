#include "servers/table/operators_table.h"

#include <CppUTest/TestHarness.h>

#include "core/random.h"
#include "servers/table/csv.h"
#include "servers/table/limit_rows.h"

using firefly::CustomerId;
using firefly::DiffTables;
using firefly::DigestOf;
using firefly::FormatCsvRecord;
using firefly::FormatDiff;
using firefly::FormatTable;
using firefly::LoadSettings;
using firefly::MakeDefaultTable;
using firefly::MakeLimitRows;
using firefly::OperatorsTable;
using firefly::ParseCsv;
using firefly::ParseTable;
using firefly::Random;
using firefly::RequestType;
using firefly::ServiceId;
using firefly::Settings;

namespace {

const std::string kHeader = "service,request_type,customer,weight,"
                            "max_concurrent,rate_per_second,worth,"
                            "late_after_ms\r\n";

Settings
DemoSettings()
{
  return *LoadSettings(
    { .file = FIREFLY_SOURCE_DIR "/settings/demo.toml", .needsHost = false });
}

std::string
RandomText(Random& aRandom)
{
  const std::string letters = "ab,\"\r\n ;'\t\xc3\xa9";
  std::string text;
  for (auto n = aRandom.Below(9); n > 0; --n) {
    text += letters[aRandom.Below(letters.size())];
  }
  return text;
}

std::string
RandomName(Random& aRandom)
{
  std::string name = "c" + RandomText(aRandom);
  std::erase_if(name, [](char aChar) {
    return aChar == '\r' || aChar == '\n' || aChar == '\t';
  });
  return name;
}

OperatorsTable
RandomTable(Random& aRandom)
{
  OperatorsTable table;
  for (auto n = aRandom.Below(30); n > 0; --n) {
    firefly::TableRow row{ .service = ServiceId("assistant"),
                           .requestType = RequestType("question"),
                           .customer = CustomerId(RandomName(aRandom)),
                           .weight = aRandom.Uniform() * 1000,
                           .maxConcurrent = {},
                           .ratePerSecond = {},
                           .worth = {},
                           .lateAfter = {} };
    if (aRandom.Chance(0.5)) {
      row.maxConcurrent = 1 + aRandom.Below(1'000'000);
      row.worth = aRandom.Uniform() * 1e9;
    }
    if (aRandom.Chance(0.5)) {
      row.ratePerSecond = 0.001 + aRandom.Uniform() * 1e5;
      row.lateAfter = std::chrono::milliseconds(1 + aRandom.Below(3'600'000));
    }
    table.Add(row);
  }
  return table;
}

} // namespace

TEST_GROUP(OperatorsTableTest){};

TEST(OperatorsTableTest, CsvFieldsSurviveARoundTrip)
{
  for (std::uint64_t seed = 1; seed <= 200; ++seed) {
    Random random(seed);
    std::vector<std::string> fields{ "x" };
    for (int n = 0; n < 5; ++n) {
      fields.push_back(RandomText(random));
    }
    const auto records =
      ParseCsv(FormatCsvRecord(fields) + FormatCsvRecord(fields));
    CHECK_TRUE(records.has_value());
    LONGS_EQUAL(2, records->size());
    CHECK_TRUE(records->back().fields == fields);
  }
}

TEST(OperatorsTableTest, TablesSurviveARoundTrip)
{
  for (std::uint64_t seed = 1; seed <= 100; ++seed) {
    Random random(seed);
    const auto table = RandomTable(random);
    const auto again = ParseTable(FormatTable(table), nullptr);
    CHECK_TRUE(again.has_value());
    CHECK_TRUE(*again == table);
    CHECK_TRUE(DigestOf(*again) == DigestOf(table));
    CHECK_TRUE(DiffTables(table, *again).empty());
  }
}

TEST(OperatorsTableTest, ParsesFilesSavedByASpreadsheet)
{
  // Spreadsheets write a byte-order mark, unnecessary quotes, and empty records
  // at the end.
  const auto table = ParseTable("\xef\xbb\xbf" + kHeader +
                                  "\"desk\",book,*,2,,,5,\r\n,,,,,,,\r\n\r\n",
                                nullptr);
  CHECK_TRUE(table.has_value());
  LONGS_EQUAL(1, table->Rows().size());
  const auto& row = table->Rows().begin()->second;
  STRCMP_EQUAL("book", row.requestType.Value().c_str());
  DOUBLES_EQUAL(5, *row.worth, 0);
  CHECK_FALSE(row.maxConcurrent.has_value());
}

TEST(OperatorsTableTest, ReportsEachInvalidCell)
{
  struct InvalidTable
  {
    std::string rows;
    std::string text;
  };
  const std::vector<InvalidTable> tables{
    { "x,book,*,1,,,,\n",
      "line 2, column service: \"x\" is not allowed; must be one of assistant "
      "desk" },
    { "desk,x,*,1,,,,\n",
      "line 2, column request_type: \"x\" is not allowed; must be one of "
      "lookup book" },
    { "desk,book,=1+1,1,,,,\n",
      "line 2, column customer: \"=1+1\" is not allowed; must be \"*\" or 1 to "
      "128 printable characters that start with a letter or a digit" },
    { "desk,book,*,,,,,\n",
      "line 2, column weight: \"\" is not allowed; must be a number from 0 to "
      "1000" },
    { "desk,book,*,nan,,,,\n",
      "line 2, column weight: \"nan\" is not allowed; must be a number from 0 "
      "to 1000" },
    { "desk,book,*,1,-1,,,\n",
      "line 2, column max_concurrent: \"-1\" is not allowed; must be empty or "
      "a whole number from 1 to 1000000" },
    { "desk,book,*,1,0,,,\n",
      "line 2, column max_concurrent: \"0\" is not allowed; must be empty or "
      "a whole number from 1 to 1000000" },
    { "desk,book,*,1,,1e7,,\n",
      "line 2, column rate_per_second: \"1e7\" is not allowed; must be empty "
      "or a number from 0.001 to 1000000" },
    { "desk,book,*,1,,,5 EUR,\n",
      "line 2, column worth: \"5 EUR\" is not allowed; must be empty or a "
      "number from 0 to 1000000000" },
    { "desk,book,*,1,,,,0\n",
      "line 2, column late_after_ms: \"0\" is not allowed; must be empty or a "
      "whole number from 1 to 3600000" },
    { "desk,book,*,1\n", "line 2: 4 fields; must be 8" },
    { "desk,book,*,1,,,,\ndesk,book,*,2,,,,\n",
      "line 3: duplicate row: an earlier line has the same service, "
      "request_type and customer" },
    { "desk,\"book,*,1,,,,\n", "line 2: unterminated quoted field" },
    { "desk,\"book\"x,*,1,,,,\n",
      "line 2: text after a closing quote; must be a comma" },
    { "desk,bo\"ok,*,1,,,,\n",
      "line 2: quote inside an unquoted field; quote the field and double the "
      "quote" },
  };
  const auto settings = DemoSettings();
  for (const auto& it : tables) {
    const auto table = ParseTable(kHeader + it.rows, &settings);
    CHECK_FALSE_TEXT(table.has_value(), it.text.c_str());
    LONGS_EQUAL(1, table.error().size());
    STRCMP_EQUAL(it.text.c_str(), table.error().front().Text().c_str());
  }
}

TEST(OperatorsTableTest, ReportsAllErrorsOfAllRows)
{
  const auto table = ParseTable(
    kHeader + "desk,book,*,x,y,,,\ndesk,book,*,1,,,,\ndesk,=,*,1,,,,z\n",
    nullptr);
  CHECK_FALSE(table.has_value());
  LONGS_EQUAL(4, table.error().size());
  LONGS_EQUAL(4, table.error().back().line);
}

TEST(OperatorsTableTest, RejectsATableWithoutHeader)
{
  for (const char* it : { "", "service,weight\n" }) {
    const auto table = ParseTable(it, nullptr);
    CHECK_FALSE(table.has_value());
    STRCMP_CONTAINS("line 1: the first line must be service,request_type,",
                    table.error().front().Text().c_str());
  }
}

TEST(OperatorsTableTest, FormatsTheDifferencesOfTwoTables)
{
  const auto before = *ParseTable(kHeader + "desk,book,*,1,,,5,\n"
                                            "desk,lookup,*,1,9,,,\n",
                                  nullptr);
  const auto after = *ParseTable(kHeader + "desk,book,*,2,,,,\n"
                                           "desk,book,acme,1,,2.5,,\n",
                                 nullptr);
  STRCMP_EQUAL("~ desk book *: weight=1->2 worth=5->(none)\n"
               "- desk lookup *: weight=1 max_concurrent=9\n"
               "+ desk book acme: weight=1 rate_per_second=2.5\n",
               FormatDiff(DiffTables(before, after)).c_str());
  CHECK_TRUE(DigestOf(before) != DigestOf(after));
}

TEST(OperatorsTableTest, TheDefaultTableIsValidForItsSettings)
{
  for (const char* name : { "macaskill", "hooghly", "demo" }) {
    const auto settings = LoadSettings(
      { .file = std::string(FIREFLY_SOURCE_DIR "/settings/") + name + ".toml",
        .needsHost = false });
    CHECK_TRUE(settings.has_value());
    const auto table = MakeDefaultTable(*settings);
    CHECK_TRUE(ParseTable(FormatTable(table), &*settings).has_value());
  }
}

TEST(OperatorsTableTest, EmptyCellsInheritFromTheSettingsExceptLimits)
{
  const auto settings = DemoSettings();
  const auto table = *ParseTable(kHeader + "desk,book,*,2,7,,9,\n"
                                           "desk,book,acme,0.5,,3,,250\n"
                                           "gone,book,*,1,,,,\n",
                                 nullptr);
  const auto rows = MakeLimitRows(table, settings);
  LONGS_EQUAL(4, rows.size());
  const auto& all = rows[2];
  STRCMP_EQUAL("book", all.requestType.Value().c_str());
  LONGS_EQUAL(7, all.maxConcurrent);
  DOUBLES_EQUAL(9, all.worth.Value(), 0);
  CHECK_TRUE(all.lateAfter == std::chrono::seconds(5));
  const auto& own = rows[3];
  STRCMP_EQUAL("acme", own.customer.Value().c_str());
  LONGS_EQUAL(0, own.maxConcurrent);
  DOUBLES_EQUAL(3, own.ratePerSecond, 0);
  DOUBLES_EQUAL(9, own.worth.Value(), 0);
  CHECK_TRUE(own.lateAfter == std::chrono::milliseconds(250));
}
