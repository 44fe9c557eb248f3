// The operators' table at three entries. An accepted edit takes effect at all
// entries and stays in force during log outages and restarts of entries.

#include "tests/process/deployment.h"

#include <nlohmann/json.hpp>

#include <CppUTest/TestHarness.h>

using firefly::testing::Deployment;
using firefly::testing::WaitFor;

namespace {

constexpr int kHosts = 3;

std::string
TableWithLimit(int aLimit)
{
  return "service,request_type,customer,weight,max_concurrent,"
         "rate_per_second,worth,late_after_ms\n"
         "desk,lookup,*,1," +
         std::to_string(aLimit) + ",,,\n";
}

int
VersionAtHost(Deployment& aDeployment, int aHost)
{
  const auto answer = aDeployment.Http().SendRequest(
    "GET", aDeployment.AdminUrl(aHost) + "/admin/table");
  const auto body = nlohmann::json::parse(answer.body, nullptr, false);
  return body.is_object() ? body.value("version", -1) : -1;
}

int
Edit(Deployment& aDeployment, int aHost, int aBase, int aLimit)
{
  return aDeployment.Http()
    .SendRequest("POST",
                 aDeployment.AdminUrl(aHost) +
                   "/admin/table?base=" + std::to_string(aBase),
                 TableWithLimit(aLimit))
    .status;
}

bool
IsInForceEverywhere(Deployment& aDeployment, int aVersion)
{
  return WaitFor([&] {
    int confirmed = 0;
    for (int host = 0; host < kHosts; ++host) {
      confirmed += VersionAtHost(aDeployment, host) == aVersion ? 1 : 0;
    }
    return confirmed == kHosts;
  });
}

void
SetOutage(Deployment& aDeployment, bool aIsUnavailable)
{
  const std::string body =
    std::string(R"({"outage": )") + (aIsUnavailable ? "true}" : "false}");
  LONGS_EQUAL(
    200,
    aDeployment.Http()
      .SendRequest("POST", aDeployment.PlatformUrl() + "/control", body)
      .status);
}

} // namespace

TEST_GROUP(TableProcess)
{
  Deployment deployment{ { .hosts = kHosts, .engines = 1 } };

  void setup() override
  {
    CHECK_TRUE(deployment.IsReady());
  }
};

TEST(TableProcess, EditTakesEffectEverywhereAndAStaleEditConflicts)
{
  LONGS_EQUAL(200, Edit(deployment, 0, 0, 5));
  CHECK_TRUE(IsInForceEverywhere(deployment, 1));
  LONGS_EQUAL(409, Edit(deployment, 1, 0, 6));
  LONGS_EQUAL(200, Edit(deployment, 1, 1, 7));
  CHECK_TRUE(IsInForceEverywhere(deployment, 2));
  const auto confirmed = [&] {
    const auto answer = deployment.Http().SendRequest(
      "GET", deployment.AdminUrl(0) + "/admin/table/confirmed?version=2");
    return answer.body.find("\"pending\":[]") != std::string::npos;
  };
  CHECK_TRUE(WaitFor(confirmed));
}

TEST(TableProcess, RestartedEntryServesNoOlderTableDuringALogOutage)
{
  LONGS_EQUAL(200, Edit(deployment, 0, 0, 5));
  CHECK_TRUE(IsInForceEverywhere(deployment, 1));
  SetOutage(deployment, true);
  CHECK_TRUE(Edit(deployment, 0, 1, 6) >= 500);
  deployment.Entry(2).Kill();
  deployment.StartEntry(2);
  CHECK_TRUE(deployment.WaitUntilReady(2));
  LONGS_EQUAL(1, VersionAtHost(deployment, 2));
  SetOutage(deployment, false);
  CHECK_TRUE(WaitFor([&] {
    return Edit(deployment, 2, VersionAtHost(deployment, 2), 9) == 200;
  }));
  CHECK_TRUE(IsInForceEverywhere(deployment, VersionAtHost(deployment, 2)));
}

TEST(TableProcess, UnansweredEditHasTheSameResultEverywhere)
{
  LONGS_EQUAL(200, Edit(deployment, 0, 0, 5));
  CHECK_TRUE(IsInForceEverywhere(deployment, 1));
  deployment.Platform().Freeze();
  CHECK_TRUE(Edit(deployment, 0, 1, 6) >= 500);
  deployment.Platform().Resume();
  CHECK_TRUE(WaitFor([&] {
    return Edit(deployment, 1, VersionAtHost(deployment, 1), 9) == 200;
  }));
  // The unanswered edit either took effect before this one or never will.
  const int version = VersionAtHost(deployment, 1);
  CHECK_TRUE(version == 2 || version == 3);
  CHECK_TRUE(IsInForceEverywhere(deployment, version));
}

TEST(TableProcess, EntryWithoutLogAndPeersIsNotReady)
{
  SetOutage(deployment, true);
  deployment.Entry(0).Kill();
  deployment.Entry(1).Kill();
  deployment.Entry(2).Kill();
  deployment.StartEntry(0);
  const auto url = deployment.AdminUrl(0);
  CHECK_TRUE(
    WaitFor([&] { return deployment.Http().Succeeds(url + "/livez"); }));
  const auto refused = deployment.Http().SendRequest(
    "POST", deployment.EntryUrl(0) + "/services/desk/lookup");
  LONGS_EQUAL(503, refused.status);
  STRCMP_CONTAINS("\"execution\":\"not-run\"", refused.body.c_str());
  // 7 s is longer than an entry waits at its start for anything else.
  const auto ready = [&] {
    return deployment.Http().Succeeds(url + "/readyz");
  };
  CHECK_FALSE(WaitFor(ready, std::chrono::seconds(7)));
  SetOutage(deployment, false);
  CHECK_TRUE(deployment.WaitUntilReady(0));
}
