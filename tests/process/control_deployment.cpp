#include "tests/process/control_deployment.h"

#include <sstream>

#include <nlohmann/json.hpp>

namespace firefly::testing {

ControlDeployment::ControlDeployment(std::size_t aHosts, bool aChecksFencing)
  : mChecksFencing(aChecksFencing)
  , mHosts(aHosts)
{
  mPlatform = std::make_unique<ChildProcess>(ChildProcess::Options{
    .program = "tests/stand_ins/platform/firefly-standin-platform",
    .arguments = { "--port=" + std::to_string(mPlatformPort) } });
  const std::string url = LoopbackUrl(mPlatformPort) + "/control";
  http.RunUntil([&] { return http.Succeeds(url); });
}

HostId
ControlDeployment::HostIdOf(std::size_t aHost)
{
  return HostId("host-" + std::to_string(aHost));
}

std::string
ControlDeployment::Settings() const
{
  const std::string platform = LoopbackUrl(mPlatformPort);
  std::ostringstream text;
  text << "[platform]\n"
       << "log_url = \"" << platform << "/log\"\n"
       << "hosts_url = \"" << platform << "/hosts\"\n"
       << "store_url = \"" << platform << "/weights\"\n"
       << "log_prefix = \"test\"\n"
       << "poll_ms = 100\n"
       << "request_timeout_ms = 1000\n"
       << "[steward]\n"
       << "lease_ms = 3000\nrenew_ms = 500\ngrace_ms = 1000\n"
       << "order_timeout_ms = 1000\n"
       << "[ledger]\npartitions = 2\n"
       << "[charts]\ndirectory = \"" << FIREFLY_SOURCE_DIR << "/charts\"\n"
       << "[[backends]]\n"
       << "id = \"engine\"\ndomain = \"domain\"\nkind = \"engine\"\n"
       << "url = \"" << LoopbackUrl(mEnginePort) << "\"\n"
       << "checks_fencing = " << (mChecksFencing ? "true" : "false")
       << "\nrole = \"mixed\"\n"
       << "models = [\"model\"]\nslots = 8\nkv_pieces = 2000\n"
       << "[[services]]\n"
       << "id = \"assistant\"\nkind = \"model\"\nmodel = \"model\"\n"
       << "[[services.request_types]]\n"
       << "name = \"question\"\nworth = 1.0\nlate_after_ms = 5000\n";
  for (std::size_t i = 0; i < mHosts.size(); ++i) {
    text << HostSettings(i);
  }
  return text.str();
}

std::string
ControlDeployment::HostSettings(std::size_t aHost) const
{
  const HostPorts& ports = mHosts[aHost];
  std::ostringstream text;
  text << "[[peers]]\n"
       << "id = \"" << HostIdOf(aHost) << "\"\ndomain = \"domain\"\n"
       << "address = \"127.0.0.1\"\n"
       << "entry_port = " << FindFreePort() << '\n'
       << "entry_admin_port = " << FindFreePort() << '\n'
       << "entry_link_port = " << FindFreePort() << '\n'
       << "gossip_port = " << FindFreePort() << '\n'
       << "steward_link_port = " << ports.stewardLink << '\n'
       << "steward_admin_port = " << ports.stewardAdmin << '\n'
       << "ledger_link_port = " << ports.ledgerLink << '\n'
       << "ledger_admin_port = " << ports.ledgerAdmin << '\n';
  return text.str();
}

std::unique_ptr<ChildProcess>
ControlDeployment::Start(const std::string& aProgram, std::size_t aHost)
{
  const auto file = mDirectory.Write("settings.toml", Settings());
  return std::make_unique<ChildProcess>(ChildProcess::Options{
    .program = "main/" + aProgram,
    .arguments = {
      "--settings", file.string(), "--host", HostIdOf(aHost).Value() } });
}

ChildProcess&
ControlDeployment::StartSteward(std::size_t aHost)
{
  mHosts[aHost].steward = Start("firefly-steward", aHost);
  http.RunUntil([&] { return http.Succeeds(StewardUrl(aHost) + "/livez"); });
  return *mHosts[aHost].steward;
}

ChildProcess&
ControlDeployment::StartLedger(std::size_t aHost)
{
  mHosts[aHost].ledger = Start("firefly-ledger", aHost);
  const std::string url = LoopbackUrl(mHosts[aHost].ledgerAdmin) + "/livez";
  http.RunUntil([&] { return http.Succeeds(url); });
  return *mHosts[aHost].ledger;
}

void
ControlDeployment::SetFaults(const std::string& aSwitches)
{
  http.SendRequest("POST", LoopbackUrl(mPlatformPort) + "/control", aSwitches);
}

std::string
ControlDeployment::StewardUrl(std::size_t aHost) const
{
  return LoopbackUrl(mHosts[aHost].stewardAdmin);
}

std::uint16_t
ControlDeployment::StewardLinkPort(std::size_t aHost) const
{
  return mHosts[aHost].stewardLink;
}

std::vector<LedgerAddress>
ControlDeployment::Ledgers() const
{
  std::vector<LedgerAddress> ledgers;
  for (std::size_t i = 0; i < mHosts.size(); ++i) {
    ledgers.push_back({ .host = HostIdOf(i),
                        .address = "127.0.0.1",
                        .port = mHosts[i].ledgerLink });
  }
  return ledgers;
}

std::string
ControlDeployment::GetFleet(std::size_t aHost)
{
  return http.SendRequest("GET", StewardUrl(aHost) + "/fleet").body;
}

bool
ControlDeployment::IsLeader(std::size_t aHost)
{
  const auto fleet = nlohmann::json::parse(GetFleet(aHost), nullptr, false);
  return fleet.is_object() && fleet.value("leading", false);
}

} // namespace firefly::testing
