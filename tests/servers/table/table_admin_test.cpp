#include "servers/table/table_admin.h"

#include <nlohmann/json.hpp>

#include <CppUTest/TestHarness.h>

#include "core/virtual_executor.h"

using firefly::FormatTable;
using firefly::HostId;
using firefly::HttpRequest;
using firefly::HttpResponse;
using firefly::LoadSettings;
using firefly::MakeDefaultTable;
using firefly::Settings;
using firefly::TableAdmin;
using firefly::TableMember;
using firefly::TableMembersView;
using firefly::TableStore;
using firefly::TableVersion;
using firefly::VirtualExecutor;
using firefly::coord::Snapshot;
using firefly::coord::TableError;
using firefly::coord::TableErrorKind;

namespace {

// Accepts an edit of its current version, or fails with the configured error.
class FakeStore : public TableStore
{
public:
  [[nodiscard]] std::optional<Snapshot> Current() const override
  {
    return current;
  }

  void Apply(TableVersion aBase,
             std::string aPayload,
             ApplyCallback aCallback) override
  {
    if (failure) {
      aCallback(tl::unexpected(*failure));
      return;
    }
    if (aBase != current->version) {
      aCallback(tl::unexpected(TableError{ .kind = TableErrorKind::kConflict,
                                           .message = "",
                                           .current = current->version }));
      return;
    }
    current->version = TableVersion(aBase.Value() + 1);
    current->payload = std::move(aPayload);
    aCallback(current->version);
  }

  std::optional<Snapshot> current = Snapshot{};
  std::optional<TableError> failure;
};

class FakeMembersView : public TableMembersView
{
public:
  [[nodiscard]] std::vector<TableMember> TableMembers() const override
  {
    return members;
  }

  std::vector<TableMember> members;
};

} // namespace

TEST_GROUP(TableAdminTest)
{
  Settings settings = *LoadSettings(
    { .file = FIREFLY_SOURCE_DIR "/settings/demo.toml", .needsHost = false });
  VirtualExecutor executor;
  FakeStore store;
  FakeMembersView members;
  TableAdmin admin{ settings, executor, store, members };

  // Sends a request, checks the status of the answer and returns its body.
  nlohmann::json Send(int aStatus, const HttpRequest& aRequest)
  {
    nlohmann::json body;
    admin.Handle(aRequest, [&](const HttpResponse& aResponse) {
      LONGS_EQUAL(aStatus, aResponse.status);
      body = nlohmann::json::parse(aResponse.body);
    });
    return body;
  }

  nlohmann::json Get(
    int aStatus, const std::string& aPath, const std::string& aQuery = "")
  {
    return Send(aStatus,
                { .method = "GET",
                  .path = aPath,
                  .query = aQuery,
                  .headers = {},
                  .body = "" });
  }

  nlohmann::json Post(
    int aStatus, const std::string& aQuery, const std::string& aBody)
  {
    return Send(aStatus,
                { .method = "POST",
                  .path = "/admin/table",
                  .query = aQuery,
                  .headers = {},
                  .body = aBody });
  }
};

TEST(TableAdminTest, AnEditOfTheNewestVersionIsAccepted)
{
  const auto answer = Get(200, "/admin/table");
  LONGS_EQUAL(0, answer["version"].get<int>());
  const auto csv = answer["csv"].get<std::string>();
  const auto accepted = Post(200, "base=0", csv);
  LONGS_EQUAL(1, accepted["version"].get<int>());
  STRCMP_EQUAL(csv.c_str(), store.current->payload.c_str());
}

TEST(TableAdminTest, AnEditOfAnOlderVersionIsAConflict)
{
  const auto csv = FormatTable(MakeDefaultTable(settings));
  Post(200, "base=0", csv);
  const auto rejected = Post(409, "base=0", csv);
  LONGS_EQUAL(1, rejected["version"].get<int>());
  STRCMP_EQUAL("not-run", rejected["execution"].get<std::string>().c_str());
}

TEST(TableAdminTest, InvalidRowsChangeNothing)
{
  const auto rejected = Post(422,
                             "base=0",
                             FormatTable(MakeDefaultTable(settings)) +
                               "desk,fly,*,1,,,,\nx,y,*,-1,,,,\n");
  LONGS_EQUAL(2, rejected["problems"].size());
  LONGS_EQUAL(5, rejected["problems"][0]["line"].get<int>());
  STRCMP_EQUAL("request_type",
               rejected["problems"][0]["column"].get<std::string>().c_str());
  LONGS_EQUAL(0, store.current->version.Value());
  Post(400, "base=", "");
  Post(400, "base=-1", "");
}

TEST(TableAdminTest, ReportsWhetherAFailedEditMayTakeEffect)
{
  const auto csv = FormatTable(MakeDefaultTable(settings));
  store.failure = TableError{ .kind = TableErrorKind::kUnavailable,
                              .message = "the log is unavailable",
                              .current = {} };
  auto rejected = Post(503, "base=0", csv);
  STRCMP_EQUAL("not-run", rejected["execution"].get<std::string>().c_str());
  store.failure->kind = TableErrorKind::kUnknown;
  rejected = Post(504, "base=0", csv);
  STRCMP_EQUAL("unknown", rejected["execution"].get<std::string>().c_str());
}

TEST(TableAdminTest, ListsLiveMembersThatHaveNotConfirmed)
{
  members.members = {
    { .host = HostId("a"), .live = true, .version = TableVersion(3) },
    { .host = HostId("b"), .live = true, .version = TableVersion(2) },
    { .host = HostId("c"), .live = false, .version = TableVersion(1) },
  };
  const auto answer = Get(200, "/admin/table/confirmed", "version=3");
  STRCMP_EQUAL("[\"a\"]", answer["confirmed"].dump().c_str());
  STRCMP_EQUAL("[\"b\"]", answer["pending"].dump().c_str());
  Get(400, "/admin/table/confirmed");
}

TEST(TableAdminTest, KeepsABoundedHistoryOfChanges)
{
  auto table = MakeDefaultTable(settings);
  for (std::uint64_t n = 1; n <= 70; ++n) {
    Snapshot snapshot{ .version = TableVersion(n),
                       .payload = FormatTable(table),
                       .offset = {} };
    admin.RecordVersion(snapshot);
  }
  const auto versions = Get(200, "/admin/table/history")["versions"];
  LONGS_EQUAL(64, versions.size());
  LONGS_EQUAL(70, versions.back()["version"].get<int>());
  STRCMP_EQUAL("", versions.back()["changes"].get<std::string>().c_str());
  LONGS_EQUAL(3, versions.back()["rows"].get<int>());
}

TEST(TableAdminTest, AnswersUnavailableUntilATableIsKnown)
{
  store.current.reset();
  Get(503, "/admin/table");
  Get(404, "/admin/table/none");
  Send(405,
       { .method = "DELETE",
         .path = "/admin/table",
         .query = "",
         .headers = {},
         .body = "" });
}
