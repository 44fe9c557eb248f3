#include "servers/settings/settings_checks.h"

#include <algorithm>
#include <map>
#include <set>

namespace firefly {

namespace {

std::string
Quoted(const std::string& aText)
{
  return '"' + aText + '"';
}

void
CheckDurations(const Settings& aSettings, SettingProblems& aProblems)
{
  const auto& entry = aSettings.entry;
  if (entry.unreadyGrace >= entry.drainTimeout) {
    aProblems.Add(0,
                  "[entry] unready_grace_ms: conflicts with drain_timeout_ms; "
                  "must be less");
  }
  // A body takes four times its size while it is received and answered.
  if (entry.requestMemoryBytes > 0 &&
      entry.requestMemoryBytes < 4 * entry.maxBodyBytes) {
    aProblems.Add(0,
                  "[entry] request_memory_bytes: conflicts with "
                  "max_body_bytes; must be 0 or at least four times as large");
  }
  const auto& steward = aSettings.steward;
  if (steward.renew * 2 > steward.lease) {
    aProblems.Add(
      0,
      "[steward] renew_ms: conflicts with lease_ms; must be at most "
      "half of it");
  }
  if (steward.orderTimeout >= steward.lease) {
    aProblems.Add(
      0,
      "[steward] order_timeout_ms: conflicts with lease_ms; must be "
      "less");
  }
  const auto& membership = aSettings.membership;
  if (membership.suspectAfter < membership.heartbeat * 2) {
    aProblems.Add(0,
                  "[membership] suspect_after_ms: conflicts with heartbeat_ms; "
                  "must be at least twice as long");
  }
  if (membership.deadAfter <= membership.suspectAfter) {
    aProblems.Add(
      0,
      "[membership] dead_after_ms: conflicts with suspect_after_ms; "
      "must be longer");
  }
  if (aSettings.ledger.window * 2 > aSettings.platform.retention) {
    aProblems.Add(0,
                  "[ledger] window_hours: conflicts with [platform] "
                  "retention_hours; must be at most half of it");
  }
}

void
CheckPorts(const HostSettings& aHost,
           const std::string& aName,
           SettingProblems& aProblems)
{
  const std::vector<std::pair<std::string, std::uint16_t>> ports{
    { "entry_port", aHost.entryPort },
    { "entry_admin_port", aHost.entryAdminPort },
    { "entry_link_port", aHost.entryLinkPort },
    { "steward_link_port", aHost.stewardLinkPort },
    { "steward_admin_port", aHost.stewardAdminPort },
    { "ledger_link_port", aHost.ledgerLinkPort },
    { "ledger_admin_port", aHost.ledgerAdminPort },
  };
  std::map<std::uint16_t, std::string> seen;
  for (const auto& [key, port] : ports) {
    const auto [it, inserted] = seen.emplace(port, key);
    if (!inserted) {
      std::string line = aName;
      line.append(" ").append(key).append(": conflicts with ");
      line.append(it->second).append("; the ports of one host must be unique");
      aProblems.Add(0, line);
    }
  }
}

void
CheckPeers(const Settings& aSettings, SettingProblems& aProblems)
{
  std::set<HostId> ids;
  std::map<std::pair<std::string, std::uint16_t>, HostId> addresses;
  for (const auto& it : aSettings.peers) {
    const std::string name = "[[peers]] " + Quoted(it.id.Value());
    if (!ids.insert(it.id).second) {
      aProblems.Add(0, name + " id: duplicate; ids must be unique");
      continue;
    }
    CheckPorts(it, name, aProblems);
    const auto [other, inserted] =
      addresses.emplace(std::pair(it.address, it.gossipPort), it.id);
    if (!inserted) {
      aProblems.Add(0,
                    name + " address: conflicts with " +
                      Quoted(other->second.Value()) +
                      "; address and gossip_port together must be "
                      "unique");
    }
  }
}

void
CheckBackend(const Settings& aSettings,
             const BackendSettings& aBackend,
             SettingProblems& aProblems)
{
  const std::string name = "[[backends]] " + Quoted(aBackend.id.Value());
  if (aBackend.kind == BackendKind::kEngine) {
    if (aBackend.models.empty()) {
      aProblems.Add(0, name + " models: an engine needs at least one model");
    }
    return;
  }
  const auto* service = aSettings.FindService(aBackend.service);
  if (service == nullptr || service->kind != ServiceKind::kPlain) {
    aProblems.Add(0,
                  name + " service: " + Quoted(aBackend.service.Value()) +
                    " is not allowed; must be the id of a [[services]] entry "
                    "of kind \"plain\"");
  }
}

void
CheckBackends(const Settings& aSettings, SettingProblems& aProblems)
{
  std::set<BackendId> ids;
  std::map<std::string, BackendId> urls;
  for (const auto& it : aSettings.backends) {
    const std::string name = "[[backends]] " + Quoted(it.id.Value());
    if (!ids.insert(it.id).second) {
      aProblems.Add(0, name + " id: duplicate; ids must be unique");
    }
    const auto [other, inserted] = urls.emplace(it.url, it.id);
    if (!inserted) {
      aProblems.Add(0,
                    name + " url: conflicts with " +
                      Quoted(other->second.Value()) + "; URLs must be unique");
    }
    CheckBackend(aSettings, it, aProblems);
  }
}

bool
IsServed(const Settings& aSettings, const ServiceSettings& aService)
{
  return std::ranges::any_of(aSettings.backends, [&](const auto& aBackend) {
    if (aService.kind == ServiceKind::kPlain) {
      return aBackend.service == aService.id;
    }
    return std::ranges::count(aBackend.models, aService.model) > 0;
  });
}

void
CheckRequestTypes(const ServiceSettings& aService, SettingProblems& aProblems)
{
  const std::string name = "[[services]] " + Quoted(aService.id.Value());
  if (aService.requestTypes.empty()) {
    aProblems.Add(0, name + " request_types: needs at least one entry");
  }
  std::set<RequestType> names;
  for (const auto& it : aService.requestTypes) {
    const std::string place =
      name + " request_types " + Quoted(it.name.Value());
    if (!names.insert(it.name).second) {
      aProblems.Add(0, place + " name: duplicate; names must be unique");
    }
    if (it.refund > it.worth) {
      aProblems.Add(
        0, place + " refund: conflicts with worth; must not exceed it");
    }
    if (aService.kind == ServiceKind::kModel && !it.idempotent) {
      aProblems.Add(0,
                    place + " idempotent: must be true for a service of kind "
                            "\"model\"");
    }
  }
}

void
CheckServices(const Settings& aSettings, SettingProblems& aProblems)
{
  std::set<ServiceId> ids;
  for (const auto& it : aSettings.services) {
    const std::string name = "[[services]] " + Quoted(it.id.Value());
    if (!ids.insert(it.id).second) {
      aProblems.Add(0, name + " id: duplicate; ids must be unique");
    }
    if (!IsServed(aSettings, it)) {
      aProblems.Add(0,
                    name + ": no [[backends]] entry serves it; must have at "
                           "least one");
    }
    CheckRequestTypes(it, aProblems);
  }
}

} // namespace

void
CheckConsistency(const Settings& aSettings, SettingProblems& aProblems)
{
  CheckDurations(aSettings, aProblems);
  if (aSettings.host.entryPort != 0) {
    CheckPorts(aSettings.host, "[host]", aProblems);
  }
  CheckPeers(aSettings, aProblems);
  CheckBackends(aSettings, aProblems);
  CheckServices(aSettings, aProblems);
}

} // namespace firefly
