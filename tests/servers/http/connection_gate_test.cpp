#include "servers/http/connection_gate.h"

#include <deque>
#include <optional>

#include <CppUTest/TestHarness.h>

using namespace std::chrono_literals;
using firefly::ConnectionGate;
using firefly::GatedConnection;
using firefly::Instant;
using firefly::RefusalCause;

namespace {

constexpr std::size_t kLarge = 300;
constexpr std::size_t kSmall = 10;

struct FakeConnection : public GatedConnection
{
  void OnRoom() override { hasRoom = true; }
  void Refuse(RefusalCause aCause) override { refusal = aCause; }
  void Close() override { isClosed = true; }

  ConnectionGate::Key key = 0;
  bool hasRoom = false;
  bool isClosed = false;
  std::optional<RefusalCause> refusal;
};

} // namespace

TEST_GROUP(ConnectionGateTest)
{
  ConnectionGate gate{ { .memoryBytes = 1000,
                         .maxConnections = 3,
                         .smallRequestBytes = 50,
                         .stallTime = 1000ms,
                         .maxWait = 1500ms,
                         .onRefusal = {} } };
  std::deque<FakeConnection> connections;
  Instant now{ 10s };

  FakeConnection& Open()
  {
    auto& connection = connections.emplace_back();
    connection.key = gate.Add(connection, now);
    return connection;
  }

  bool Reserves(const FakeConnection& aConnection, std::size_t aBytes)
  {
    return gate.Reserve(aConnection.key, aBytes, now) ==
           ConnectionGate::Admission::kGranted;
  }

  bool IsRefused(const FakeConnection& aConnection, RefusalCause aCause)
  {
    return aConnection.refusal == aCause;
  }
};

// Bodies that together exceed the budget would take the process out of memory.
TEST(ConnectionGateTest, LargeRequestsWaitAtThreeQuartersOfTheBudget)
{
  CHECK_TRUE(Reserves(Open(), kLarge));
  CHECK_TRUE(Reserves(Open(), kLarge));
  auto& third = Open();
  CHECK_FALSE(Reserves(third, kLarge));
  CHECK_TRUE(gate.HasWaiting());
  UNSIGNED_LONGS_EQUAL(2 * kLarge, gate.UsedBytes());
}

// Large bodies would otherwise keep out all other requests.
TEST(ConnectionGateTest, SmallRequestsUseTheReserve)
{
  CHECK_TRUE(Reserves(Open(), 750));
  CHECK_FALSE(Reserves(Open(), kLarge));
  CHECK_TRUE(Reserves(Open(), kSmall));
}

// A budget below one body would refuse each such request for ever.
TEST(ConnectionGateTest, OneRequestFitsIfNothingElseIsReserved)
{
  CHECK_TRUE(Reserves(Open(), 5000));
  CHECK_FALSE(Reserves(Open(), kSmall));
}

TEST(ConnectionGateTest, FreedMemoryGoesToTheRequestThatWaits)
{
  auto& first = Open();
  CHECK_TRUE(Reserves(first, 700));
  const auto held = gate.StartRequest(first.key);
  auto& second = Open();
  CHECK_FALSE(Reserves(second, kLarge));
  gate.Release(held);
  CHECK_TRUE(second.hasRoom);
  CHECK_FALSE(gate.HasWaiting());
  UNSIGNED_LONGS_EQUAL(kLarge, gate.UsedBytes());
}

// Bodies that stop short of their end would hold the budget until the read
// timeout.
TEST(ConnectionGateTest, AStalledBodyIsClosedForARequestThatWaits)
{
  auto& stalled = Open();
  CHECK_TRUE(Reserves(stalled, 700));
  auto& waiting = Open();
  CHECK_FALSE(Reserves(waiting, kLarge));
  now += 900ms;
  gate.Check(now);
  CHECK_FALSE(stalled.refusal.has_value());
  now += 100ms;
  gate.Check(now);
  CHECK_TRUE(IsRefused(stalled, RefusalCause::kStalled));
  gate.Remove(stalled.key);
  CHECK_TRUE(waiting.hasRoom);
}

TEST(ConnectionGateTest, OnlyAsManyBodiesAreClosedAsTheRequestNeeds)
{
  auto& oldest = Open();
  CHECK_TRUE(Reserves(oldest, kLarge));
  auto& other = Open();
  CHECK_TRUE(Reserves(other, kLarge));
  CHECK_FALSE(Reserves(Open(), kLarge));
  now += 1000ms;
  gate.Check(now);
  CHECK_TRUE(IsRefused(oldest, RefusalCause::kStalled));
  CHECK_FALSE(other.refusal.has_value());
}

TEST(ConnectionGateTest, ABodyWithProgressIsKeptAndTheWaitIsBounded)
{
  auto& active = Open();
  CHECK_TRUE(Reserves(active, 700));
  auto& waiting = Open();
  CHECK_FALSE(Reserves(waiting, kLarge));
  now += 1000ms;
  gate.NoteProgress(active.key, now);
  now += 500ms;
  gate.Check(now);
  CHECK_FALSE(active.refusal.has_value());
  CHECK_TRUE(IsRefused(waiting, RefusalCause::kNoMemory));
  CHECK_FALSE(gate.HasWaiting());
}

// Idle connections would otherwise keep out all others.
TEST(ConnectionGateTest, TheLongestIdleConnectionIsClosedAtTheMaximum)
{
  auto& running = Open();
  gate.StartRequest(running.key);
  auto& used = Open();
  auto& idle = Open();
  now += 1ms;
  gate.StartReading(used.key, now);
  CHECK_TRUE(gate.AdmitConnection());
  CHECK_TRUE(idle.isClosed);
  CHECK_FALSE(used.isClosed);
  CHECK_FALSE(running.isClosed);
}

TEST(ConnectionGateTest, NoConnectionIsAdmittedIfAllAnswerRequests)
{
  for (int i = 0; i < 3; i++) {
    gate.StartRequest(Open().key);
  }
  CHECK_FALSE(gate.AdmitConnection());
}
