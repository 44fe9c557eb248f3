#include "policy/access/access_control.h"

#include <string>
#include <vector>

#include <CppUTest/TestHarness.h>

using namespace std::chrono_literals;
using firefly::CustomerId;
using firefly::Duration;
using firefly::Instant;
using firefly::policy::AbsentCredentials;
using firefly::policy::AccessTime;
using firefly::policy::Credentials;
using firefly::policy::Customer;
using firefly::policy::Decide;
using firefly::policy::KeyDigest;
using firefly::policy::MalformedCredentials;
using firefly::policy::Route;
using firefly::policy::RoutingTable;
using firefly::policy::StalenessBound;

namespace {

constexpr Instant kNow{ 100s };

KeyDigest
MakeDigest(unsigned char aSeed)
{
  KeyDigest::Bytes bytes{};
  bytes.fill(aSeed);
  return KeyDigest(bytes);
}

RoutingTable
MakeTable(std::optional<std::vector<Customer>> aCustomers)
{
  return RoutingTable({ .version = {},
                        .routes = {},
                        .services = {},
                        .limits = {},
                        .customers = std::move(aCustomers) });
}

const std::vector<Customer> kTwoCustomers{
  { .name = CustomerId("anna"), .keys = { MakeDigest(1), MakeDigest(2) } },
  { .name = CustomerId("bert"), .keys = { MakeDigest(3) } }
};

} // namespace

TEST_GROUP(AccessControlTest)
{
  Route closed;
  Route open;
  RoutingTable table = MakeTable(kTwoCustomers);
  AccessTime lax{ .now = kNow, .confirmedAt = kNow };

  void setup() override
  {
    open.isPublic = true;
  }

  static AccessTime Strict(std::optional<Instant> aConfirmedAt)
  {
    return { .now = kNow,
             .confirmedAt = aConfirmedAt,
             .stalenessBound = StalenessBound(5s) };
  }

  // Returns the outcome and, after a slash, the customer.
  std::string Result(const Route& aRoute,
                     const Credentials& aCredentials,
                     const AccessTime& aTime)
  {
    const auto decision = Decide(table, aRoute, aCredentials, aTime);
    return std::string(ToString(decision.outcome)) + "/" +
           (decision.customer ? decision.customer->name.Value() : "");
  }
};

// Guards against a request that runs without a known key, or under the name of
// another customer.
TEST(AccessControlTest, AdmitsOnlyKnownKeysOnRoutesThatAreNotPublic)
{
  STRCMP_EQUAL("admitted/anna", Result(closed, MakeDigest(2), lax).c_str());
  STRCMP_EQUAL("admitted/bert", Result(closed, MakeDigest(3), lax).c_str());
  STRCMP_EQUAL("unknown key/", Result(closed, MakeDigest(4), lax).c_str());
  STRCMP_EQUAL("no key/", Result(closed, AbsentCredentials{}, lax).c_str());
  STRCMP_EQUAL("malformed key/",
               Result(closed, MalformedCredentials{}, lax).c_str());
}

// Guards against a public route that demands a key or ignores a known one.
TEST(AccessControlTest, AdmitsEverythingOnPublicRoutes)
{
  STRCMP_EQUAL("admitted/anna", Result(open, MakeDigest(1), lax).c_str());
  STRCMP_EQUAL("admitted/", Result(open, MakeDigest(4), lax).c_str());
  STRCMP_EQUAL("admitted/", Result(open, AbsentCredentials{}, lax).c_str());
  STRCMP_EQUAL("admitted/", Result(open, MalformedCredentials{}, lax).c_str());
}

// Guards against a deployment without customers that starts to reject requests.
TEST(AccessControlTest, AdmitsEverythingWithoutCustomersInTheTable)
{
  table = MakeTable({});
  for (const auto& time : { lax, Strict({}) }) {
    STRCMP_EQUAL("admitted/",
                 Result(closed, AbsentCredentials{}, time).c_str());
    STRCMP_EQUAL("admitted/", Result(closed, MakeDigest(1), time).c_str());
  }
}

// Guards against an empty list of customers that opens all routes.
TEST(AccessControlTest, AdmitsNoKeyIfTheListOfCustomersIsEmpty)
{
  table = MakeTable(std::vector<Customer>{});
  STRCMP_EQUAL("unknown key/", Result(closed, MakeDigest(1), lax).c_str());
  STRCMP_EQUAL("no key/", Result(closed, AbsentCredentials{}, lax).c_str());
}

// Guards against trusting keys that may have been revoked, and against a final
// 401 for a key that a newer table may contain.
TEST(AccessControlTest, TrustsNoKeyOnceTheConfirmationIsTooOld)
{
  for (const auto& stale : { Strict({}), Strict(kNow - 4500ms) }) {
    for (const unsigned char key : { 1, 4 }) {
      STRCMP_EQUAL("routing table not confirmed/",
                   Result(closed, MakeDigest(key), stale).c_str());
    }
    STRCMP_EQUAL("routing table not confirmed/",
                 Result(closed, AbsentCredentials{}, stale).c_str());
    STRCMP_EQUAL("routing table not confirmed/",
                 Result(closed, MalformedCredentials{}, stale).c_str());
    STRCMP_EQUAL("admitted/", Result(open, MakeDigest(1), stale).c_str());
    STRCMP_EQUAL("admitted/", Result(open, AbsentCredentials{}, stale).c_str());
  }
  const auto fresh = Strict(kNow - 4499ms);
  STRCMP_EQUAL("admitted/anna", Result(closed, MakeDigest(1), fresh).c_str());
  STRCMP_EQUAL("admitted/anna", Result(open, MakeDigest(1), fresh).c_str());
  // A refusal for good needs a confirmation within the time for changes.
  STRCMP_EQUAL("routing table not confirmed/",
               Result(closed, MakeDigest(4), fresh).c_str());
  const auto inForce = Strict(kNow - 1999ms);
  STRCMP_EQUAL("unknown key/", Result(closed, MakeDigest(4), inForce).c_str());
}

// Guards against a final refusal out of a table that a newer one may have
// replaced, and against none for as long as the log is away.
TEST(AccessControlTest, KnowsWhetherTheTableIsInForce)
{
  const auto time = [](Duration aAge, std::optional<Duration> aAway) {
    return AccessTime{ .now = kNow,
                       .confirmedAt = kNow - aAge,
                       .changeBound = 3s,
                       .logAwaySince =
                         aAway ? std::optional(kNow - *aAway) : std::nullopt };
  };
  CHECK_FALSE((AccessTime{ .now = kNow }.IsInForce()));
  CHECK_TRUE(time(2999ms, {}).IsInForce());
  CHECK_FALSE(time(3s, {}).IsInForce());
  CHECK_TRUE(time(60s, 58s).IsInForce());
  // Frozen over the beginning of the outage.
  CHECK_FALSE(time(60s, 56s).IsInForce());
  CHECK_TRUE(time(1s, 2s).IsInForce());
}

// Guards against a request under the wrong name if operators give one key to
// two customers.
TEST(AccessControlTest, RejectsAKeyOfSeveralCustomers)
{
  auto customers = kTwoCustomers;
  customers.push_back(
    { .name = CustomerId("carl"), .keys = { MakeDigest(1), MakeDigest(5) } });
  customers.push_back(
    { .name = CustomerId("bert"), .keys = { MakeDigest(3) } });
  table = MakeTable(customers);
  STRCMP_EQUAL("unknown key/", Result(closed, MakeDigest(1), lax).c_str());
  STRCMP_EQUAL("admitted/anna", Result(closed, MakeDigest(2), lax).c_str());
  STRCMP_EQUAL("admitted/carl", Result(closed, MakeDigest(5), lax).c_str());
  STRCMP_EQUAL("admitted/bert", Result(closed, MakeDigest(3), lax).c_str());
  LONGS_EQUAL(4, table.KeyCount());
  LONGS_EQUAL(1, table.AmbiguousKeyCount());
}

// Guards against a comparison of only the part of a digest that selects the
// bucket.
TEST(AccessControlTest, ComparesWholeDigests)
{
  KeyDigest::Bytes bytes{};
  bytes.fill(1);
  bytes.back() = 2;
  STRCMP_EQUAL("unknown key/", Result(closed, KeyDigest(bytes), lax).c_str());
}
