#include "servers/control/fleet_commands.h"

#include <algorithm>
#include <array>
#include <cmath>
#include <cstdio>
#include <map>
#include <set>
#include <tuple>

#include "servers/control/json_view.h"
#include "servers/control/text_table.h"

namespace firefly {

namespace {

// The authority's holder as a steward's answer names it.
Json
HolderOf(const Json& aFleet)
{
  const auto found = aFleet.find("holder");
  const bool known = found != aFleet.end() && found->is_object();
  return known ? *found : Json::object();
}

double
FenceOf(const Json& aFleet)
{
  return NumberOf(HolderOf(aFleet), "fence");
}

// The leading steward's answer, or null. A process that lost its authority may
// still believe in it: the greatest fencing number is right.
const Json*
FindLeader(const std::vector<Json>& aFleets)
{
  const Json* leader = nullptr;
  for (const auto& it : aFleets) {
    const bool leads = TextOf(it, "leading") == "yes";
    if (leads && (leader == nullptr || FenceOf(it) > FenceOf(*leader))) {
      leader = &it;
    }
  }
  return leader;
}

void
PrintEntries(std::ostream& aOut, const std::vector<Json>& aEntries)
{
  TextTable table({ "ENTRY",
                    "DOMAIN",
                    "READY",
                    "TABLE",
                    "PLAN",
                    "ALIVE",
                    "RUNNING",
                    "WAITING" });
  for (const auto& it : aEntries) {
    const Json members = ArrayOf(it, "members");
    const auto alive = std::ranges::count_if(members, [](const Json& aMember) {
      return TextOf(aMember, "state") == "alive";
    });
    const bool draining = TextOf(it, "draining") == "yes";
    table.Add({ TextOf(it, "host"),
                TextOf(it, "domain"),
                draining ? "draining" : TextOf(it, "ready"),
                TextOf(it, "table_version"),
                TextOf(it, "plan_version"),
                std::to_string(alive) + " of " + std::to_string(members.size()),
                TextOf(it, "running"),
                TextOf(it, "waiting") });
  }
  aOut << table.Text();
}

// Members that some entry does not hold for alive.
void
PrintMembers(std::ostream& aOut, const std::vector<Json>& aEntries)
{
  TextTable table({ "MEMBER", "DOMAIN", "STATE", "SEEN BY" });
  for (const auto& entry : aEntries) {
    for (const auto& it : ArrayOf(entry, "members")) {
      if (TextOf(it, "state") != "alive") {
        table.Add({ TextOf(it, "host"),
                    TextOf(it, "domain"),
                    TextOf(it, "state"),
                    TextOf(entry, "host") });
      }
    }
  }
  const std::string text = table.Text();
  if (!text.empty()) {
    aOut << '\n' << text;
  }
}

// One line for each backend server: the work of all entries, and each state
// that an entry sees.
void
PrintBackends(std::ostream& aOut, const std::vector<Json>& aEntries)
{
  struct Joined
  {
    Json first;
    std::vector<std::string> states;
    double outstanding = 0;
    double weight = 0; // the least
  };
  std::map<std::string, Joined> joined;
  for (const auto& entry : aEntries) {
    for (const auto& it : ArrayOf(entry, "backends")) {
      const auto [found, fresh] = joined.try_emplace(TextOf(it, "id"));
      auto& backend = found->second;
      if (fresh) {
        backend.first = it;
        backend.weight = NumberOf(it, "weight");
      }
      backend.outstanding += NumberOf(it, "outstanding");
      backend.weight = std::min(backend.weight, NumberOf(it, "weight"));
      if (std::ranges::count(backend.states, TextOf(it, "state")) == 0) {
        backend.states.push_back(TextOf(it, "state"));
      }
    }
  }
  TextTable table({ "BACKEND",
                    "DOMAIN",
                    "STATE",
                    "ROLE",
                    "MODEL",
                    "OUTSTANDING",
                    "LEAST WEIGHT" });
  for (const auto& [id, it] : joined) {
    table.Add({ id,
                TextOf(it.first, "domain"),
                JoinArray(it.states),
                TextOf(it.first, "role"),
                TextOf(it.first, "model"),
                std::to_string(std::llround(it.outstanding)),
                Json(it.weight).dump() });
  }
  aOut << '\n' << table.Text();
}

// Waiting and running requests of all entries together.
void
PrintQueues(std::ostream& aOut, const std::vector<Json>& aEntries)
{
  std::map<std::pair<std::string, std::string>, std::pair<double, double>> sums;
  for (const auto& entry : aEntries) {
    for (const auto& it : ArrayOf(entry, "queues")) {
      auto& sum = sums[{ TextOf(it, "service"), TextOf(it, "request_type") }];
      sum.first += NumberOf(it, "waiting");
      sum.second += NumberOf(it, "running");
    }
  }
  if (sums.empty()) {
    return;
  }
  TextTable table({ "SERVICE", "REQUEST TYPE", "WAITING", "RUNNING" });
  for (const auto& [key, sum] : sums) {
    table.Add({ key.first,
                key.second,
                std::to_string(std::llround(sum.first)),
                std::to_string(std::llround(sum.second)) });
  }
  aOut << '\n' << table.Text();
}

// Limits hold over all entries, so that one line for each row is enough.
void
PrintLimits(std::ostream& aOut, const std::vector<Json>& aEntries)
{
  using Key = std::tuple<std::string, std::string, std::string>;
  std::map<Key, Json> rows;
  for (const auto& entry : aEntries) {
    for (const auto& it : ArrayOf(entry, "limits")) {
      rows.try_emplace({ TextOf(it, "service"),
                         TextOf(it, "request_type"),
                         TextOf(it, "customer") },
                       it);
    }
  }
  TextTable table(
    { "SERVICE", "REQUEST TYPE", "CUSTOMER", "MAX CONCURRENT", "RATE/S" });
  for (const auto& [key, it] : rows) {
    const auto& [service, type, customer] = key;
    table.Add({ service,
                type,
                customer,
                TextOf(it, "max_concurrent"),
                TextOf(it, "rate_per_second") });
  }
  const std::string text = table.Text();
  if (!text.empty()) {
    aOut << '\n' << text;
  }
}

void
PrintBookings(std::ostream& aOut, const std::vector<Json>& aEntries)
{
  TextTable table({ "BOOKING OF UNKNOWN OUTCOME", "SERVICE", "REQUEST TYPE" });
  std::map<std::string, Json> bookings;
  for (const auto& entry : aEntries) {
    for (const auto& it : ArrayOf(entry, "unknown_bookings")) {
      bookings.emplace(TextOf(it, "key"), it);
    }
  }
  for (const auto& [key, it] : bookings) {
    table.Add({ key, TextOf(it, "service"), TextOf(it, "request_type") });
  }
  const std::string text = table.Text();
  aOut << '\n' << (text.empty() ? "no bookings of unknown outcome\n" : text);
}

void
PrintFleet(std::ostream& aOut, const Json& aLeader)
{
  const Json holder = HolderOf(aLeader);
  aOut << "leader " << TextOf(holder, "host") << ", fencing number "
       << TextOf(holder, "fence") << ", plan "
       << TextOf(aLeader, "plan_version") << "\n\n";
  TextTable table({ "BACKEND",
                    "STATE",
                    "ROLE",
                    "MODEL",
                    "VERSION",
                    "ADAPTER",
                    "CHANGE",
                    "RUNNING",
                    "WAITS FOR" });
  for (const auto& it : ArrayOf(aLeader, "backends")) {
    table.Add({ TextOf(it, "id"),
                TextOf(it, "state"),
                TextOf(it, "role"),
                TextOf(it, "model"),
                TextOf(it, "version"),
                TextOf(it, "adapter"),
                TextOf(it, "change"),
                TextOf(it, "in_flight"),
                JoinArray(ArrayOf(it, "waits_for")) });
  }
  aOut << table.Text();
}

// Tenths of milliseconds.
std::string
FormatMillis(double aMillis)
{
  std::array<char, 32> buf{};
  std::snprintf(buf.data(), buf.size(), "%.1f", aMillis);
  return buf.data();
}

void
PrintSteps(std::ostream& aOut, const Json& aRequest)
{
  aOut << "request " << TextOf(aRequest, "request_id") << " of "
       << TextOf(aRequest, "service") << ", "
       << TextOf(aRequest, "request_type") << ": "
       << TextOf(aRequest, "outcome") << " (" << TextOf(aRequest, "url")
       << ")\n";
  TextTable table({ "AT MS", "STEP", "BACKEND", "DETAIL" });
  for (const auto& it : ArrayOf(aRequest, "steps")) {
    table.Add({ FormatMillis(NumberOf(it, "at_ms")),
                TextOf(it, "step"),
                TextOf(it, "backend"),
                TextOf(it, "detail") });
  }
  aOut << table.Text();
}

void
PrintBooking(std::ostream& aOut, const Json& aBooking)
{
  aOut << "booking " << TextOf(aBooking, "key") << ": "
       << TextOf(aBooking, "state") << ", attempt "
       << TextOf(aBooking, "attempt") << ", status "
       << TextOf(aBooking, "status") << " (" << TextOf(aBooking, "url")
       << ")\n";
}

void
PrintKnown(const ControlOptions& aOptions, const std::vector<Json>& aObjects)
{
  // The ledgers tell all entries the same of a booking: told once.
  std::set<std::string> told;
  for (const auto& it : aObjects) {
    Json content = it;
    content.erase("url");
    if (!told.insert(DumpLine(content)).second) {
      continue;
    }
    if (aOptions.format == OutputFormat::kJson) {
      aOptions.out << DumpLine(it);
    } else if (it.contains("steps")) {
      PrintSteps(aOptions.out, it);
    } else {
      PrintBooking(aOptions.out, it);
    }
  }
}

} // namespace

ExitCode
FleetCommands::Status()
{
  const auto entries =
    ObjectsOf(AskAll(mFetcher, mOptions.targets.entries, "/admin/status"));
  const auto fleets =
    ObjectsOf(AskAll(mFetcher, mOptions.targets.stewards, "/fleet"));
  auto away = entries.away;
  away.insert(away.end(), fleets.away.begin(), fleets.away.end());
  const Json* leader = FindLeader(fleets.objects);
  if (mOptions.format == OutputFormat::kJson) {
    mOptions.out << DumpLine(
      { { "entries", entries.objects },
        { "fleet", leader == nullptr ? Json(nullptr) : *leader },
        { "away", AwayJson(away) } });
  } else {
    PrintAway(mOptions.err, away);
  }
  if (entries.objects.empty()) {
    mOptions.err << "no entry answered\n";
    return ExitCode::kAway;
  }
  if (mOptions.format == OutputFormat::kJson) {
    return ExitCode::kOk;
  }
  if (!mOptions.targets.stewards.empty()) {
    mOptions.out << "leader "
                 << (leader == nullptr ? "none"
                                       : TextOf(HolderOf(*leader), "host"))
                 << "\n\n";
  }
  PrintEntries(mOptions.out, entries.objects);
  PrintMembers(mOptions.out, entries.objects);
  PrintBackends(mOptions.out, entries.objects);
  PrintQueues(mOptions.out, entries.objects);
  PrintLimits(mOptions.out, entries.objects);
  PrintBookings(mOptions.out, entries.objects);
  return ExitCode::kOk;
}

ExitCode
FleetCommands::Fleet()
{
  const auto fleets =
    ObjectsOf(AskAll(mFetcher, mOptions.targets.stewards, "/fleet"));
  PrintAway(mOptions.err, fleets.away);
  if (fleets.objects.empty()) {
    mOptions.err << "no steward answered\n";
    return ExitCode::kAway;
  }
  const Json* leader = FindLeader(fleets.objects);
  if (leader == nullptr) {
    mOptions.err << "no steward that answered leads; the fleet serves on "
                    "under its last plan\n";
    return ExitCode::kFailed;
  }
  if (mOptions.format == OutputFormat::kJson) {
    mOptions.out << DumpLine(*leader);
  } else {
    PrintFleet(mOptions.out, *leader);
  }
  return ExitCode::kOk;
}

ExitCode
FleetCommands::Drain(const BackendId& aBackend)
{
  return Order("drain", aBackend, "");
}

ExitCode
FleetCommands::Undrain(const BackendId& aBackend)
{
  return Order("undrain", aBackend, "");
}

ExitCode
FleetCommands::ChangeRole(const BackendId& aBackend, const std::string& aRole)
{
  return Order("role", aBackend, DumpLine({ { "role", aRole } }));
}

ExitCode
FleetCommands::Load(const BackendId& aBackend, const LoadedModel& aModel)
{
  return Order("load",
               aBackend,
               DumpLine({ { "model", aModel.model.Value() },
                          { "version", aModel.version },
                          { "adapter", aModel.adapter } }));
}

ExitCode
FleetCommands::Why(const RequestId& aRequest)
{
  return ShowKnown("/admin/why/" + PercentEncode(aRequest.Value()),
                   "request " + aRequest.Value());
}

ExitCode
FleetCommands::Booking(const BookingKey& aKey,
                       const ServiceId& aService,
                       const CustomerId& aCustomer)
{
  std::string path = "/admin/bookings/" + PercentEncode(aKey.Value());
  if (!aService.Value().empty()) {
    path += "?service=" + PercentEncode(aService.Value());
    path += "&customer=" + PercentEncode(aCustomer.Value());
  }
  return ShowKnown(path, "booking " + aKey.Value());
}

ExitCode
FleetCommands::Order(const std::string& aVerb,
                     const BackendId& aBackend,
                     const std::string& aBody)
{
  const auto fleets =
    ObjectsOf(AskAll(mFetcher, mOptions.targets.stewards, "/fleet"));
  PrintAway(mOptions.err, fleets.away);
  const Json* leader = FindLeader(fleets.objects);
  if (leader == nullptr) {
    mOptions.err << "no steward that answered leads; nothing changed\n";
    return fleets.objects.empty() ? ExitCode::kAway : ExitCode::kFailed;
  }
  HttpCall call;
  call.method = "POST";
  call.url = TextOf(*leader, "url") + '/' + aVerb + '/' +
             PercentEncode(aBackend.Value());
  call.body = aBody;
  call.freshConnection = true;
  const auto reply = mFetcher.Fetch(std::move(call));
  if (!reply) {
    const bool sent = reply.error().kind != HttpErrorKind::kNotSent;
    mOptions.err << TextOf(*leader, "url") << ": " << Describe(reply.error())
                 << (sent ? "; see fleet for what became of it\n"
                          : "; nothing changed\n");
    return sent ? ExitCode::kFailed : ExitCode::kAway;
  }
  if (reply->status < 200 || reply->status > 299) {
    mOptions.err << "not accepted: " << ProblemTitle(*reply) << '\n';
    return ExitCode::kFailed;
  }
  if (mOptions.format == OutputFormat::kJson) {
    mOptions.out << DumpLine(
      { { "accepted", aVerb }, { "backend", aBackend.Value() } });
  } else {
    mOptions.out << aVerb << ' ' << aBackend
                 << " accepted; fleet shows its course\n";
  }
  return ExitCode::kOk;
}

ExitCode
FleetCommands::ShowKnown(const std::string& aPath, const std::string& aWhat)
{
  const auto answers = AskAll(mFetcher, mOptions.targets.entries, aPath);
  Answers others{ .answers = {}, .away = answers.away };
  std::size_t unknown = 0;
  for (const auto& it : answers.answers) {
    if (it.result.status == 404) {
      ++unknown;
    } else {
      others.answers.push_back(it);
    }
  }
  const auto known = ObjectsOf(others);
  PrintAway(mOptions.err, known.away);
  PrintKnown(mOptions, known.objects);
  if (!known.objects.empty()) {
    return ExitCode::kOk;
  }
  if (unknown == 0) {
    mOptions.err << "no entry answered\n";
    return ExitCode::kAway;
  }
  mOptions.err << aWhat << ": unknown to " << unknown << " entries of "
               << mOptions.targets.entries.size() << '\n';
  return ExitCode::kFailed;
}

} // namespace firefly
