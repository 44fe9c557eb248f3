#include "servers/settings/settings.h"

#include <algorithm>
#include <filesystem>
#include <fstream>
#include <string>
#include <unistd.h>

#include <CppUTest/TestHarness.h>

using firefly::HostId;
using firefly::LoadSettings;
using firefly::RequestType;
using firefly::ServiceId;
using firefly::Settings;
using firefly::SettingsError;

namespace {

const std::string kValid = R"([host]
id = "h1"
domain = "d1"
address = "127.0.0.1"
[platform]
log_url = "http://127.0.0.1:7000/log/"
hosts_url = "http://127.0.0.1:7000/hosts"
store_url = "http://127.0.0.1:7000/store"
[[backends]]
id = "e1"
domain = "d1"
kind = "engine"
url = "http://127.0.0.1:8000"
checks_fencing = true
models = ["m"]
[[backends]]
id = "p1"
domain = "d1"
kind = "plain"
service = "desk"
url = "http://127.0.0.1:8001"
[[services]]
id = "chat"
kind = "model"
model = "m"
[[services.request_types]]
name = "ask"
worth = 2
late_after_ms = 1000
[[services]]
id = "desk"
kind = "plain"
[[services.request_types]]
name = "book"
worth = 5.5
late_after_ms = 1000
idempotent = false
)";

// An edit of the valid file and the error line that it must cause.
struct InvalidEdit
{
  std::string from;
  std::string to;
  std::string line; // without the file name
};

std::string
Replace(std::string aText, const std::string& aFrom, const std::string& aTo)
{
  const auto at = aText.find(aFrom);
  CHECK_TRUE(at != std::string::npos);
  return aText.replace(at, aFrom.size(), aTo);
}

std::filesystem::path
SampleFile(const std::string& aName)
{
  return std::filesystem::path(FIREFLY_SOURCE_DIR) / "settings" / aName;
}

} // namespace

TEST_GROUP(SettingsTest)
{
  std::filesystem::path file;

  void setup() override
  {
    file = std::filesystem::temp_directory_path() /
           ("firefly_settings_" + std::to_string(getpid()) + ".toml");
  }

  void teardown() override
  {
    std::filesystem::remove(file);
  }

  tl::expected<Settings, SettingsError> Load(const std::string& aText)
  {
    std::ofstream(file) << aText;
    return LoadSettings({ .file = file });
  }

  void CheckInvalidEdit(const InvalidEdit& aEdit)
  {
    const auto settings = Load(Replace(kValid, aEdit.from, aEdit.to));
    CHECK_FALSE_TEXT(settings.has_value(), aEdit.line.c_str());
    if (settings.has_value()) {
      return;
    }
    LONGS_EQUAL_TEXT(1, settings.error().lines.size(), aEdit.line.c_str());
    STRCMP_EQUAL((file.string() + aEdit.line).c_str(),
                 settings.error().lines.front().c_str());
  }
};

TEST(SettingsTest, ReadsAValidFile)
{
  const auto settings = Load(kValid);
  CHECK_TRUE(settings.has_value());
  STRCMP_EQUAL("http://127.0.0.1:7000/log", settings->platform.logUrl.c_str());
  LONGS_EQUAL(8080, settings->host.entryPort);
  CHECK_TRUE(settings->backends[0].checksFencing);
  const auto* type =
    settings->FindRequestType(ServiceId("desk"), RequestType("book"));
  CHECK_TRUE(type != nullptr);
  CHECK_FALSE(type->idempotent);
  DOUBLES_EQUAL(5.5, type->refund, 0);
  STRCMP_EQUAL("POST", type->method.c_str());
}

TEST(SettingsTest, EngineRolesMustBeAllPresentOrAllAbsent)
{
  const std::string rates = "prompt_tokens_per_second = 10.5\n"
                            "output_tokens_per_second = 2\n";
  const std::string two = kValid + "[engine_roles.mixed]\n" + rates +
                          "[engine_roles.prefill]\n" + rates;
  const auto faulty = Load(two);
  CHECK_FALSE(faulty.has_value());
  LONGS_EQUAL(2, faulty.error().lines.size());
  const auto whole = Load(two + "[engine_roles.decode]\n" + rates);
  CHECK_TRUE(whole.has_value());
  LONGS_EQUAL(3, whole->engineRoles.size());
  DOUBLES_EQUAL(10.5, whole->engineRoles[0].promptTokensPerSecond, 0);
  CHECK_TRUE(Load(kValid)->engineRoles.empty());
}

TEST(SettingsTest, ReportsEachInvalidValue)
{
  const std::vector<InvalidEdit> edits{
    { "[platform]\n",
      "[platform]\nlog = 1\n",
      ":6: [platform] log: unknown key; allowed are hosts_url, log_prefix, "
      "log_url, poll_ms, request_timeout_ms, retention_hours, store_url" },
    { "[platform]",
      "[entri]\n[platform]",
      ":5: entri: unknown key; allowed are backends, charts, entry, host, "
      "ledger, log, membership, peers, platform, policy, services, steward" },
    { "checks_fencing = true",
      "checks_fencing = 1",
      ":14: [[backends]] checks_fencing: 1 is not allowed; must be true or "
      "false" },
    { "checks_fencing = true\n",
      "",
      ":9: [[backends]] checks_fencing: missing; must be true or false" },
    { "address = \"127.0.0.1\"",
      "address = \"localhost\"",
      ":4: [host] address: \"localhost\" is not allowed; must be an IP address "
      "such as \"10.1.0.5\"" },
    { "address = \"127.0.0.1\"",
      "address = \"127.0.0.1\"\nentry_port = 70000",
      ":5: [host] entry_port: 70000 is not allowed; must be a whole number "
      "from 1 to 65535" },
    { "worth = 5.5",
      "worth = \"5.5\"",
      ":35: [[services]] [[request_types]] worth: \"5.5\" is not allowed; must "
      "be a number from 0 to 1e+09" },
    { "worth = 5.5",
      "worth = nan",
      ":35: [[services]] [[request_types]] worth: nan is not allowed; must be "
      "a number from 0 to 1e+09" },
    { "kind = \"engine\"",
      "kind = \"gpu\"",
      ":12: [[backends]] kind: \"gpu\" is not allowed; must be one of "
      "\"engine\" \"plain\"" },
    { "kind = \"engine\"",
      "kind = \"a\\nb\"",
      ":12: [[backends]] kind: \"a?b\" is not allowed; must be one of "
      "\"engine\" \"plain\"" },
    { "models = [\"m\"]",
      "models = [1]",
      ":15: [[backends]] models: 1 is not allowed; must be an array of "
      "non-empty strings" },
    { "http://127.0.0.1:8001",
      "127.0.0.1:8001",
      ":21: [[backends]] url: \"127.0.0.1:8001\" is not allowed; must be a URL "
      "such as \"http://10.1.0.9:7000\"" },
    { "[platform]",
      "[charts]\ndirectory = \"\"\n[platform]",
      ":6: [charts] directory: \"\" is not allowed; must be a non-empty "
      "string" },
  };
  for (const auto& it : edits) {
    CheckInvalidEdit(it);
  }
}

TEST(SettingsTest, ReportsEachViolatedConstraint)
{
  const std::vector<InvalidEdit> edits{
    { "url = \"http://127.0.0.1:8001\"",
      "url = \"http://127.0.0.1:8000\"",
      ": [[backends]] \"p1\" url: conflicts with \"e1\"; URLs must be unique" },
    { "id = \"p1\"",
      "id = \"e1\"",
      ": [[backends]] \"e1\" id: duplicate; ids must be unique" },
    { "model = \"m\"",
      "model = \"n\"",
      ": [[services]] \"chat\": no [[backends]] entry serves it; must have at "
      "least one" },
    { "worth = 5.5",
      "worth = 5.5\nrefund = 6",
      ": [[services]] \"desk\" request_types \"book\" refund: conflicts with "
      "worth; must not exceed it" },
    { "worth = 2",
      "worth = 2\nidempotent = false",
      ": [[services]] \"chat\" request_types \"ask\" idempotent: must be true "
      "for a service of kind \"model\"" },
    { "[platform]",
      "[entry]\ndrain_timeout_ms = 4000\n[platform]",
      ": [entry] unready_grace_ms: conflicts with drain_timeout_ms; must be "
      "less" },
    { "[platform]",
      "[entry]\nrequest_memory_bytes = 4194303\n[platform]",
      ": [entry] request_memory_bytes: conflicts with max_body_bytes; must be "
      "0 or at least four times as large" },
    { "[platform]",
      "[steward]\nrenew_ms = 5000\n[platform]",
      ": [steward] renew_ms: conflicts with lease_ms; must be at most half of "
      "it" },
    { "[platform]",
      "[steward]\norder_timeout_ms = 6000\n[platform]",
      ": [steward] order_timeout_ms: conflicts with lease_ms; must be less" },
    { "[platform]",
      "[membership]\ndead_after_ms = 900\n[platform]",
      ": [membership] dead_after_ms: conflicts with suspect_after_ms; must be "
      "longer" },
    { "[platform]",
      "[membership]\nheartbeat_ms = 900\n[platform]",
      ": [membership] suspect_after_ms: conflicts with heartbeat_ms; must be "
      "at least twice as long" },
    { "[platform]",
      "[ledger]\nwindow_hours = 48\n[platform]",
      ": [ledger] window_hours: conflicts with [platform] retention_hours; "
      "must be at most half of it" },
    { "[platform]",
      "entry_admin_port = 8080\n[platform]",
      ": [host] entry_admin_port: conflicts with entry_port; the ports of one "
      "host must be unique" },
    { "[[backends]]",
      "[[peers]]\nid = \"a\"\ndomain = \"d\"\naddress = \"10.0.0.1\"\n"
      "[[peers]]\nid = \"b\"\ndomain = \"d\"\naddress = \"10.0.0.1\"\n"
      "[[backends]]",
      ": [[peers]] \"b\" address: conflicts with \"a\"; address and "
      "gossip_port together must be unique" },
    { "service = \"desk\"",
      "service = \"chat\"",
      ": [[backends]] \"p1\" service: \"chat\" is not allowed; must be the id "
      "of a [[services]] entry of kind \"plain\"" },
  };
  for (const auto& it : edits) {
    // Some edits cause a second error: a backend server with a wrong service
    // also leaves its service without a backend server.
    const auto settings = Load(Replace(kValid, it.from, it.to));
    CHECK_FALSE_TEXT(settings.has_value(), it.line.c_str());
    const auto& lines = settings.error().lines;
    CHECK_TRUE_TEXT(std::ranges::count(lines, file.string() + it.line) == 1,
                    it.line.c_str());
  }
}

TEST(SettingsTest, ReportsAllErrorsAtOnce)
{
  auto text = Replace(kValid, "id = \"h1\"", "id = 1");
  text = Replace(text, "worth = 2", "worth = -2");
  text = Replace(text, "[platform]", "[log]\nlevel = \"loud\"\n[platform]");
  const auto settings = Load(text);
  CHECK_FALSE(settings.has_value());
  LONGS_EQUAL(3, settings.error().lines.size());
}

TEST(SettingsTest, ReportsAFileThatIsNotToml)
{
  const auto settings = Load("[host\n");
  CHECK_FALSE(settings.has_value());
  LONGS_EQUAL(1, settings.error().lines.size());
  STRCMP_CONTAINS((file.string() + ": not valid TOML: ").c_str(),
                  settings.error().lines.front().c_str());
  CHECK_FALSE(LoadSettings({ .file = "/no/such.toml" }).has_value());
}

TEST(SettingsTest, TakesTheHostFromThePeers)
{
  const auto settings =
    LoadSettings({ .file = SampleFile("demo.toml"), .host = HostId("host-2") });
  CHECK_TRUE(settings.has_value());
  STRCMP_EQUAL("domain-2", settings->host.domain.Value().c_str());
  LONGS_EQUAL(17200, settings->host.entryPort);
  CHECK_FALSE(LoadSettings({ .file = SampleFile("demo.toml") }).has_value());
  const auto unknown =
    LoadSettings({ .file = SampleFile("demo.toml"), .host = HostId("host-9") });
  CHECK_FALSE(unknown.has_value());
  STRCMP_CONTAINS("[[peers]] id: no entry has the requested host id \"host-9\"",
                  unknown.error().lines.front().c_str());
}
