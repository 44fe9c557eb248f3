// Tests the codec, and reading, writing and folding a stream.

#include <memory>
#include <string>
#include <vector>

#include "coord/codec.h"
#include "coord/confirmed_writer.h"
#include "coord/testing/fake_log.h"
#include "coord/versioned_table.h"
#include "core/state_chart_loader.h"

#include <CppUTest/TestHarness.h>

using namespace std::chrono_literals;

namespace firefly::coord {

namespace {

const StreamName kStream("stream");

// Concatenates the bodies of all records and rejects duplicates.
class ConcatenatingFold : public Fold
{
public:
  void Reset() override { text.clear(); }
  bool Apply(LogOffset, const Envelope& aRecord) override
  {
    if (text.find(aRecord.body) != std::string::npos) {
      return false;
    }
    text += aRecord.body;
    return true;
  }
  std::string Save() const override { return text; }
  bool Load(std::string_view aState) override
  {
    text = aState;
    return true;
  }

  std::string text;
};

struct Reader
{
  Reader(VirtualExecutor& aExecutor, FakeLog& aLog)
    : client(aLog.MakeClient("reader", aExecutor))
    , fold({ .stream = kStream }, aExecutor, client, state)
    , writer({ .stream = kStream, .writer = WriterId("w") },
             aExecutor,
             client,
             fold)
  {
    fold.Start();
  }

  ConcatenatingFold state;
  LogClient& client;
  StreamFold fold;
  ConfirmedWriter writer;
};

} // namespace

TEST_GROUP(CodecTest){};

TEST(CodecTest, WrongOrMissingFieldsAreDetected)
{
  const auto bytes =
    FieldWriter().Number(7).Signed(-7).Flag(true).Text("t").Take();
  FieldReader reader(bytes);
  LONGS_EQUAL(7, reader.Number());
  LONGS_EQUAL(-7, reader.Signed());
  CHECK_TRUE(reader.Flag());
  STRCMP_EQUAL("t", reader.Text().c_str());
  CHECK_TRUE(reader.Ok() && reader.AtEnd());
  LONGS_EQUAL(0, reader.Number());
  CHECK_FALSE(reader.Ok());
  FieldReader wrong(bytes);
  STRCMP_EQUAL("", wrong.Text().c_str());
  CHECK_FALSE(wrong.Ok());
  CHECK_FALSE(DecodeEnvelope("not an envelope").has_value());
}

TEST_GROUP(StreamTest)
{
  VirtualExecutor executor;
  FakeLog log{ { .timeout = 300ms, .lateness = 1s }, executor };

  // Appends a record to the log without a LogWriter.
  void Put(RecordKind aKind, const std::string& aBody)
  {
    log.MakeClient("other", executor)
      .Append(
        kStream,
        { EncodeEnvelope({ .id = { .writer = WriterId("other"), .sequence = 1 },
                           .kind = aKind,
                           .body = aBody }) },
        [](const auto&) {});
    executor.RunFor(100ms);
  }
  void PutAll(const std::string& aBodies)
  {
    for (const char it : aBodies) {
      Put(RecordKind::kTableEdit, std::string(1, it));
    }
  }
  static std::string Checkpoint(std::uint64_t aNext, const std::string& aState)
  {
    return FieldWriter().Number(aNext).Text(aState).Take();
  }
};

TEST(StreamTest, RecordsWithLostAnswersAreConfirmedByReadingBack)
{
  Reader reader(executor, log);
  executor.RunFor(1s);
  log.SetFaults(0, 1.0, 0);
  int accepted = 0;
  const auto count = [&](const auto& aResult) {
    accepted += aResult && aResult->accepted ? 1 : 0;
  };
  reader.writer.Append(RecordKind::kTableEdit, "a", executor.Now() + 5s, count);
  reader.writer.Append(RecordKind::kTableEdit, "b", executor.Now() + 5s, count);
  executor.RunFor(3s);
  log.SetFaults(0, 0, 0);
  executor.RunFor(5s);
  LONGS_EQUAL(2, accepted);
  STRCMP_EQUAL("ab", reader.state.text.c_str());
  // The log contains duplicates, the state does not.
  CHECK_TRUE(log.End(kStream).Value() > 2);
}

TEST(StreamTest, RecordThatWasNeverSentIsReportedAsNotAppended)
{
  Reader reader(executor, log);
  executor.RunFor(1s);
  log.SetDown(true);
  std::vector<WriteErrorKind> errors;
  reader.writer.Append(
    RecordKind::kTableEdit, "a", executor.Now() + 2s, [&](const auto& aResult) {
      errors.push_back(aResult.error().kind);
    });
  executor.RunFor(3s);
  log.SetDown(false);
  executor.RunFor(10s);
  LONGS_EQUAL(1, errors.size());
  CHECK(errors.at(0) == WriteErrorKind::kNotAppended);
  LONGS_EQUAL(0, log.End(kStream).Value());
}

TEST(StreamTest, ManyRecordsShareOneAppend)
{
  Reader reader(executor, log);
  executor.RunFor(1s);
  int done = 0;
  for (int n = 0; n < 300; ++n) {
    reader.writer.Append(RecordKind::kTableEdit,
                         "<" + std::to_string(n) + ">",
                         executor.Now() + 5s,
                         [&](const auto&) { ++done; });
  }
  executor.RunFor(2s);
  LONGS_EQUAL(300, done);
  LONGS_EQUAL(1, reader.writer.Writer().Appends());
}

TEST(StreamTest, LateReaderLoadsTheCheckpointAndAppliesLaterRecords)
{
  PutAll("abcd"); // offsets 0 to 3
  // The writer had folded "abc" when it wrote this, but not yet "d".
  Put(RecordKind::kCheckpoint, Checkpoint(3, "abc"));
  PutAll("e");
  log.Trim(kStream, LogOffset(2));
  Reader reader(executor, log);
  executor.RunFor(1s);
  CHECK_TRUE(reader.fold.Ready());
  STRCMP_EQUAL("abcde", reader.state.text.c_str());
}

TEST(StreamTest, CheckpointOlderThanTheKeptRecordsIsIgnored)
{
  PutAll("abcd");
  Put(RecordKind::kCheckpoint, Checkpoint(1, "a"));
  log.Trim(kStream, LogOffset(2));
  Reader reader(executor, log);
  executor.RunFor(1s);
  CHECK(reader.fold.State() == StreamFold::Status::kLost);
  STRCMP_EQUAL("", reader.state.text.c_str());
}

TEST(StreamTest, ReaderThatFellBehindStartsFromACheckpoint)
{
  Reader reader(executor, log);
  PutAll("ab");
  executor.RunFor(2s);
  STRCMP_EQUAL("ab", reader.state.text.c_str());
  log.SetPartitioned("reader", true);
  executor.RunFor(2s);
  PutAll("cd");
  Put(RecordKind::kCheckpoint, Checkpoint(4, "abcd"));
  log.Trim(kStream, LogOffset(4));
  log.SetPartitioned("reader", false);
  executor.RunFor(20s);
  CHECK_TRUE(reader.fold.Ready());
  STRCMP_EQUAL("abcd", reader.state.text.c_str());
}

TEST_GROUP(ChartFilesTest){};

TEST(ChartFilesTest, AllAreValid)
{
  for (const auto* name : { "authority", "booking", "backend", "request" }) {
    const auto path =
      std::string(FIREFLY_SOURCE_DIR) + "/charts/" + name + ".toml";
    const auto chart = LoadStateChart(path);
    CHECK_TRUE(chart.has_value());
    STRCMP_EQUAL(name, chart->Name().c_str());
  }
}

} // namespace firefly::coord
