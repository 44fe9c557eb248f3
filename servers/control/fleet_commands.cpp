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

// The holder of the authority according to a steward's answer.
Json
HolderOf(const Json& aFleet)
{
  const auto found = aFleet.find("holder");
  const bool hasHolder = found != aFleet.end() && found->is_object();
  return hasHolder ? *found : Json::object();
}

double
FenceOf(const Json& aFleet)
{
  return NumberOf(HolderOf(aFleet), "fence");
}

// The leading steward's answer, or null. A steward that has lost the authority
// may not know it yet, so the highest fencing number decides.
const Json*
FindLeader(const std::vector<Json>& aFleets)
{
  const Json* leader = nullptr;
  for (const auto& it : aFleets) {
    const bool isLeading = TextOf(it, "leading") == "yes";
    if (isLeading && (leader == nullptr || FenceOf(it) > FenceOf(*leader))) {
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
    const bool isDraining = TextOf(it, "draining") == "yes";
    table.Add({ TextOf(it, "host"),
                TextOf(it, "domain"),
                isDraining ? "draining" : TextOf(it, "ready"),
                TextOf(it, "table_version"),
                TextOf(it, "plan_version"),
                std::to_string(alive) + " of " + std::to_string(members.size()),
                TextOf(it, "running"),
                TextOf(it, "waiting") });
  }
  aOut << table.Text();
}

// Prints the members that at least one entry does not consider alive.
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

// Prints one line for each backend server: the total of outstanding requests,
// the minimum weight and all distinct states over all entries.
void
PrintBackends(std::ostream& aOut, const std::vector<Json>& aEntries)
{
  struct BackendSummary
  {
    Json first;
    std::vector<std::string> states;
    double outstanding = 0;
    double minWeight = 0;
  };
  std::map<std::string, BackendSummary> backends;
  for (const auto& entry : aEntries) {
    for (const auto& it : ArrayOf(entry, "backends")) {
      const auto [found, fresh] = backends.try_emplace(TextOf(it, "id"));
      auto& backend = found->second;
      if (fresh) {
        backend.first = it;
        backend.minWeight = NumberOf(it, "weight");
      }
      backend.outstanding += NumberOf(it, "outstanding");
      backend.minWeight = std::min(backend.minWeight, NumberOf(it, "weight"));
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
                    "MIN WEIGHT" });
  for (const auto& [id, it] : backends) {
    table.Add({ id,
                TextOf(it.first, "domain"),
                JoinArray(it.states),
                TextOf(it.first, "role"),
                TextOf(it.first, "model"),
                std::to_string(std::llround(it.outstanding)),
                Json(it.minWeight).dump() });
  }
  aOut << '\n' << table.Text();
}

// Prints the waiting and running requests, summed over all entries.
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

// Prints the limits. They apply to all entries together, so each row is printed
// once.
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

// The newest order as its id and fencing number.
std::string
OrderText(const Json& aBackend)
{
  const auto order = aBackend.find("last_order");
  if (order == aBackend.end() || !order->is_object()) {
    return "-";
  }
  return TextOf(*order, "id") + " under " + TextOf(*order, "fence");
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
                    "LAST ORDER",
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
                OrderText(it),
                JoinArray(ArrayOf(it, "waits_for")) });
  }
  aOut << table.Text();
}

// Formats milliseconds with one decimal.
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
PrintDistinct(const ControlOptions& aOptions, const std::vector<Json>& aObjects)
{
  // All entries get the state of a booking from the ledgers, so equal answers
  // are printed only once.
  std::set<std::string> printed;
  for (const auto& it : aObjects) {
    Json content = it;
    content.erase("url");
    if (!printed.insert(DumpLine(content)).second) {
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
    ParseAnswers(QueryAll(mFetcher, mOptions.targets.entries, "/admin/status"));
  const auto fleets =
    ParseAnswers(QueryAll(mFetcher, mOptions.targets.stewards, "/fleet"));
  auto failures = entries.failures;
  failures.insert(
    failures.end(), fleets.failures.begin(), fleets.failures.end());
  const Json* leader = FindLeader(fleets.objects);
  if (mOptions.format == OutputFormat::kJson) {
    mOptions.out << DumpLine(
      { { "entries", entries.objects },
        { "fleet", leader == nullptr ? Json(nullptr) : *leader },
        { "away", FailuresToJson(failures) } });
  } else {
    PrintFailures(mOptions.err, failures);
  }
  if (entries.objects.empty()) {
    mOptions.err << "no entry answered\n";
    return ExitCode::kUnreachable;
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
    ParseAnswers(QueryAll(mFetcher, mOptions.targets.stewards, "/fleet"));
  PrintFailures(mOptions.err, fleets.failures);
  if (fleets.objects.empty()) {
    mOptions.err << "no steward answered\n";
    return ExitCode::kUnreachable;
  }
  const Json* leader = FindLeader(fleets.objects);
  if (leader == nullptr) {
    mOptions.err << "no steward that answered is the leader; entries keep "
                    "using the last plan\n";
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
  return SendOrder("drain", aBackend, "");
}

ExitCode
FleetCommands::Undrain(const BackendId& aBackend)
{
  return SendOrder("undrain", aBackend, "");
}

ExitCode
FleetCommands::ChangeRole(const BackendId& aBackend, const std::string& aRole)
{
  return SendOrder("role", aBackend, DumpLine({ { "role", aRole } }));
}

ExitCode
FleetCommands::Load(const BackendId& aBackend, const LoadedModel& aModel)
{
  return SendOrder("load",
                   aBackend,
                   DumpLine({ { "model", aModel.model.Value() },
                              { "version", aModel.version },
                              { "adapter", aModel.adapter } }));
}

ExitCode
FleetCommands::Why(const RequestId& aRequest)
{
  return PrintFromEntries("/admin/why/" + PercentEncode(aRequest.Value()),
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
  return PrintFromEntries(path, "booking " + aKey.Value());
}

ExitCode
FleetCommands::SendOrder(const std::string& aVerb,
                         const BackendId& aBackend,
                         const std::string& aBody)
{
  const auto fleets =
    ParseAnswers(QueryAll(mFetcher, mOptions.targets.stewards, "/fleet"));
  PrintFailures(mOptions.err, fleets.failures);
  const Json* leader = FindLeader(fleets.objects);
  if (leader == nullptr) {
    mOptions.err << "no steward that answered is the leader; nothing changed\n";
    return fleets.objects.empty() ? ExitCode::kUnreachable : ExitCode::kFailed;
  }
  HttpCall call;
  call.method = "POST";
  call.url = TextOf(*leader, "url") + '/' + aVerb + '/' +
             PercentEncode(aBackend.Value());
  call.body = aBody;
  call.freshConnection = true;
  const auto reply = mFetcher.Fetch(std::move(call));
  if (!reply) {
    const bool wasSent = reply.error().kind != HttpErrorKind::kNotSent;
    mOptions.err << TextOf(*leader, "url") << ": " << Describe(reply.error())
                 << (wasSent
                       ? "; the outcome is unknown, see \"fireflyctl fleet\"\n"
                       : "; nothing changed\n");
    return wasSent ? ExitCode::kFailed : ExitCode::kUnreachable;
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
                 << " accepted; see \"fireflyctl fleet\" for its progress\n";
  }
  return ExitCode::kOk;
}

ExitCode
FleetCommands::PrintFromEntries(const std::string& aPath,
                                const std::string& aWhat)
{
  const auto answers = QueryAll(mFetcher, mOptions.targets.entries, aPath);
  QueryResults others{ .answers = {}, .failures = answers.failures };
  std::size_t unknown = 0;
  for (const auto& it : answers.answers) {
    if (it.result.status == 404) {
      ++unknown;
    } else {
      others.answers.push_back(it);
    }
  }
  const auto known = ParseAnswers(others);
  PrintFailures(mOptions.err, known.failures);
  PrintDistinct(mOptions, known.objects);
  if (!known.objects.empty()) {
    return ExitCode::kOk;
  }
  if (unknown == 0) {
    mOptions.err << "no entry answered\n";
    return ExitCode::kUnreachable;
  }
  mOptions.err << aWhat << ": unknown to " << unknown << " entries of "
               << mOptions.targets.entries.size() << '\n';
  return ExitCode::kFailed;
}

} // namespace firefly
