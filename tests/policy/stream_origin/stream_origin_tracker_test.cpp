#include "policy/stream_origin/stream_origin_tracker.h"

#include <string>

#include <CppUTest/TestHarness.h>

using namespace std::chrono_literals;
using firefly::BackendId;
using firefly::Duration;
using firefly::Instant;
using firefly::RequestId;
using firefly::ServiceId;
using firefly::policy::LogPlace;
using firefly::policy::OriginSource;
using firefly::policy::SoftwareVersion;
using firefly::policy::SoftwareVersionOf;
using firefly::policy::StableHash;
using firefly::policy::StreamHash;
using firefly::policy::StreamHashOf;
using firefly::policy::StreamOriginTracker;

namespace {

const ServiceId kService("llm");
const SoftwareVersion kOld = SoftwareVersionOf(kService, "v1");
const SoftwareVersion kNew = SoftwareVersionOf(kService, "v1.1");
const StreamHash kStream = StreamHashOf(RequestId("q1"));
const BackendId kOldServer("old");
const BackendId kNewServer("new");

} // namespace

TEST_GROUP(StreamOriginTrackerTest)
{
  Instant now{ 1000s };
  // Up to where the hosts have processed the log of the backend servers.
  LogPlace place{ 100 };
  StreamOriginTracker tracker{ { .lifetime = 10s,
                                 .lateSends = 5s,
                                 .maxConfirmationGap = 3s,
                                 .maxStreams = 100 } };

  void setup() override
  {
    tracker.OnBackend(kOldServer, kService, kOld, now);
    Confirm(tracker, now);
  }

  // Confirms that all changes up to the instant are known.
  void Confirm(StreamOriginTracker & aTracker, Instant aAt) const
  {
    aTracker.OnConfirmed(
      { .readAt = aAt, .unchangedUntil = aAt, .place = place });
  }

  // Passes time in which all changes become known soon.
  void Pass(Duration aTime)
  {
    for (const auto end = now + aTime; now < end;) {
      now += 1s;
      Confirm(tracker, now - 500ms);
    }
  }

  // Passes time in which no host can read the log.
  void PassOutage(Duration aTime)
  {
    const auto readAt = now;
    for (const auto end = now + aTime; now < end;) {
      now += 1s;
      tracker.OnConfirmed(
        { .readAt = readAt, .unchangedUntil = now - 500ms, .place = place });
    }
  }

  void AddNewVersion()
  {
    tracker.OnBackend(kNewServer, kService, kNew, now);
  }

  void Send(SoftwareVersion aVersion, bool aHasBegun = false)
  {
    const auto& server = aVersion == kOld ? kOldServer : kNewServer;
    tracker.OnSend({ .stream = kStream,
                     .version = aVersion,
                     .backend = StableHash(server.Value()),
                     .hasBegun = aHasBegun },
                   now);
  }

  // Makes a tracker of a host that starts now and finds one server.
  StreamOriginTracker Start(const BackendId& aServer, SoftwareVersion aVersion)
  {
    StreamOriginTracker started(
      { .lifetime = 10s, .lateSends = 5s, .maxConfirmationGap = 3s });
    started.OnBackend(aServer, kService, aVersion, now);
    Confirm(started, now);
    return started;
  }

  // Returns the source, and after a slash the version, for a take-up that
  // arrived half a second ago.
  std::string Origin()
  {
    return Origin(tracker);
  }

  std::string Origin(const StreamOriginTracker& aTracker)
  {
    return OriginAsOf(aTracker, now - 500ms);
  }

  std::string OriginAsOf(const StreamOriginTracker& aTracker, Instant aAsOf)
  {
    const auto origin = aTracker.OriginOf(kService, kStream, aAsOf, now);
    std::string text(ToString(origin.source));
    if (origin.source == OriginSource::kRecorded ||
        origin.source == OriginSource::kOnlyVersion) {
      text += origin.version == kOld ? "/old" : "/new";
    }
    return text;
  }
};

// Guards against refusals, records and announcements in a deployment that never
// changes its version.
TEST(StreamOriginTrackerTest, TheOnlyVersionBeganEachStream)
{
  Pass(20s);
  CHECK_FALSE(tracker.NeedsRecords(kService, now));
  STRCMP_EQUAL("only version/old", Origin().c_str());
  const auto unnamed =
    tracker.OriginOf(kService, std::nullopt, now - 500ms, now);
  CHECK(unnamed.source == OriginSource::kOnlyVersion);
}

// Guards against a guess between two versions.
TEST(StreamOriginTrackerTest, OnlyRecordedStreamsAreKnownWithTwoVersions)
{
  Pass(20s);
  AddNewVersion();
  CHECK_TRUE(tracker.NeedsRecords(kService, now));
  STRCMP_EQUAL("unknown", Origin().c_str());
  Send(kNew);
  STRCMP_EQUAL("recorded/new", Origin().c_str());
  const auto unnamed =
    tracker.OriginOf(kService, std::nullopt, now - 500ms, now);
  CHECK(unnamed.source == OriginSource::kUnknown);
}

// Guards against a stream of a version whose last server has left going on at
// the version that remains.
TEST(StreamOriginTrackerTest, AVersionThatHasLeftMayHaveBegunStreams)
{
  Pass(20s);
  AddNewVersion();
  Pass(2s);
  tracker.OnBackendGone(kOldServer, now);
  Pass(10s);
  STRCMP_EQUAL("unknown", Origin().c_str());
  LONGS_EQUAL(2, tracker.VersionCount(kService, now));
  Pass(6s);
  STRCMP_EQUAL("only version/new", Origin().c_str());
}

// Guards against a choice between two versions that both got the stream.
TEST(StreamOriginTrackerTest, TheFirstEventTellsSendsToTwoVersionsApart)
{
  AddNewVersion();
  Send(kOld);
  Send(kNew);
  STRCMP_EQUAL("unknown", Origin().c_str());
  Send(kNew, true);
  STRCMP_EQUAL("recorded/new", Origin().c_str());
  Send(kOld); // a late notice of a send that brought nothing
  STRCMP_EQUAL("recorded/new", Origin().c_str());
}

// Guards against notices for what other hosts know already, and against none
// for what they do not.
TEST(StreamOriginTrackerTest, SaysWhichSendsAreNews)
{
  const auto send = [this](SoftwareVersion aVersion, bool aHasBegun) {
    return tracker.OnSend({ .stream = kStream,
                            .version = aVersion,
                            .backend = 1,
                            .hasBegun = aHasBegun },
                          now);
  };
  CHECK_TRUE(send(kOld, false));
  CHECK_FALSE(send(kOld, false));
  CHECK_FALSE(send(kOld, true));
  CHECK_FALSE(send(kNew, false));
  CHECK_TRUE(send(kNew, true));
}

// Guards against a host that was frozen or cut off and missed a version that
// came and went.
TEST(StreamOriginTrackerTest, NothingIsKnownAfterAGapInWhatIsConfirmed)
{
  Pass(20s);
  now += 4s;
  STRCMP_EQUAL("unknown", Origin().c_str());
  Confirm(tracker, now);
  STRCMP_EQUAL("unknown", Origin().c_str());
  Pass(16s);
  STRCMP_EQUAL("only version/old", Origin().c_str());
}

// Guards against a server that starts again under its id with another version:
// its streams may come from either.
TEST(StreamOriginTrackerTest, StreamsOfAServerThatChangedItsVersionAreUnknown)
{
  AddNewVersion();
  Send(kOld, true);
  tracker.OnBackend(kOldServer, kService, kNew, now);
  STRCMP_EQUAL("unknown", Origin().c_str());
}

// Guards against equal names of versions of two services.
TEST(StreamOriginTrackerTest, VersionsOfOtherServicesDoNotCount)
{
  const ServiceId other("desk");
  CHECK(SoftwareVersionOf(other, "v1") != kOld);
  tracker.OnBackend(BackendId("d"), other, SoftwareVersionOf(other, "v2"), now);
  Pass(20s);
  STRCMP_EQUAL("only version/old", Origin().c_str());
  const auto none =
    tracker.OriginOf(ServiceId("none"), kStream, now - 500ms, now);
  CHECK(none.source == OriginSource::kUnknown);
}

// Guards against memory that grows with the streams of a long roll-out.
TEST(StreamOriginTrackerTest, RecordsAreBoundedInNumberAndTime)
{
  AddNewVersion();
  for (std::uint64_t i = 0; i < 1000; ++i) {
    tracker.OnSend({ .stream = StreamHash(i), .version = kNew, .backend = 1 },
                   now);
  }
  CHECK_TRUE(tracker.RecordedStreams() <= 100);
  Pass(10s);
  Send(kOld);
  Pass(10s);
  Send(kOld); // used again
  tracker.OnSend({ .stream = StreamHash(1), .version = kNew, .backend = 1 },
                 now);
  LONGS_EQUAL(2, tracker.RecordedStreams());
  STRCMP_EQUAL("recorded/old", Origin().c_str());
}

// Guards against a host that has just started and takes the version that it
// sees for the only one: all hosts were killed, and the servers that began the
// streams left meanwhile.
TEST(StreamOriginTrackerTest, AStartedHostKnowsNoEarlierStream)
{
  STRCMP_EQUAL("unknown", Origin().c_str());
  Pass(14s);
  STRCMP_EQUAL("unknown", Origin().c_str());
  CHECK_TRUE(tracker.NeedsRecords(kService, now));
  Pass(2s);
  STRCMP_EQUAL("only version/old", Origin().c_str());
  CHECK_FALSE(tracker.NeedsRecords(kService, now));
}

// Guards against refusals of streams that began after the start.
TEST(StreamOriginTrackerTest, AStartedHostKnowsStreamsThatItHasHeardOf)
{
  Send(kOld);
  STRCMP_EQUAL("recorded/old", Origin().c_str());
}

// Guards against refusals of all streams by a host that has just started, while
// every other host knows that one version has served (review/7).
TEST(StreamOriginTrackerTest, AStartedHostTakesOverWhatAnotherOneHasKnown)
{
  Pass(20s);
  auto started = Start(kOldServer, kOld);
  CHECK_TRUE(started.NeedsHistory(now));
  CHECK_FALSE(tracker.NeedsHistory(now));
  STRCMP_EQUAL("unknown", Origin(started).c_str());
  CHECK_TRUE(started.TakeOver(*tracker.History(), now));
  CHECK_FALSE(started.NeedsHistory(now));
  STRCMP_EQUAL("only version/old", Origin(started).c_str());
}

// Guards against the same refusals after a roll-out in which each host was
// restarted, so that none has known the versions for long by itself.
TEST(StreamOriginTrackerTest, WhatWasTakenOverIsPassedOn)
{
  Pass(20s);
  auto second = Start(kOldServer, kOld);
  second.TakeOver(*tracker.History(), now);
  now += 2s;
  Confirm(second, now);
  auto third = Start(kOldServer, kOld);
  CHECK_TRUE(third.TakeOver(*second.History(), now));
  STRCMP_EQUAL("only version/old", Origin(third).c_str());
}

// Guards against a stream of a version that left before the host started.
TEST(StreamOriginTrackerTest, VersionsThatLeftBeforeTheStartAreTakenOver)
{
  Pass(20s);
  AddNewVersion();
  Pass(2s);
  tracker.OnBackendGone(kOldServer, now);
  Pass(2s);
  auto started = Start(kNewServer, kNew);
  CHECK_TRUE(started.TakeOver(*tracker.History(), now));
  STRCMP_EQUAL("unknown", Origin(started).c_str());
  LONGS_EQUAL(2, started.VersionCount(kService, now));
  CHECK_TRUE(started.NeedsRecords(kService, now));
}

// Guards against the same if the host that answers has not learned yet that the
// version has left.
TEST(StreamOriginTrackerTest, AVersionThatServesElsewhereMayHaveBegunStreams)
{
  Pass(20s);
  auto started = Start(kNewServer, kNew);
  CHECK_TRUE(started.TakeOver(*tracker.History(), now));
  STRCMP_EQUAL("unknown", Origin(started).c_str());
  for (int i = 0; i < 16; ++i) {
    now += 1s;
    Confirm(started, now);
  }
  STRCMP_EQUAL("only version/new", Origin(started).c_str());
}

// Guards against a version that came and left between what the other host has
// processed and where this one began.
TEST(StreamOriginTrackerTest, NothingIsTakenOverAcrossAGap)
{
  Pass(20s);
  place = LogPlace(101);
  auto started = Start(kOldServer, kOld);
  CHECK_FALSE(started.TakeOver(*tracker.History(), now));
  STRCMP_EQUAL("unknown", Origin(started).c_str());
  Confirm(tracker, now);
  CHECK_TRUE(started.TakeOver(*tracker.History(), now));
  STRCMP_EQUAL("only version/old", Origin(started).c_str());
}

// Guards against the same after a gap in what this host knows: it was cut off,
// and a version came and left meanwhile.
TEST(StreamOriginTrackerTest, AHostThatWasCutOffTakesOverAgain)
{
  Pass(20s);
  auto other = Start(kOldServer, kOld);
  other.TakeOver(*tracker.History(), now);
  const auto before = *other.History();
  for (int i = 0; i < 4; ++i) {
    now += 1s;
    Confirm(other, now);
  }
  place = LogPlace(103);
  Confirm(tracker, now);
  CHECK_TRUE(tracker.NeedsHistory(now));
  CHECK_FALSE(tracker.TakeOver(before, now));
  STRCMP_EQUAL("unknown", Origin().c_str());
  other.OnBackend(kNewServer, kService, kNew, now);
  other.OnBackendGone(kNewServer, now);
  Confirm(other, now);
  CHECK_TRUE(tracker.TakeOver(*other.History(), now));
  STRCMP_EQUAL("unknown", Origin().c_str());
}

// Guards against a history that is shorter than the host's own.
TEST(StreamOriginTrackerTest, AShorterHistoryIsNotTakenOver)
{
  Pass(20s);
  const auto started = Start(kOldServer, kOld);
  CHECK_FALSE(tracker.TakeOver(*started.History(), now));
  STRCMP_EQUAL("only version/old", Origin().c_str());
  const StreamOriginTracker unconfirmed;
  CHECK_FALSE(unconfirmed.History().has_value());
}

// Guards against a host that was cut off for less than the longest gap: a
// version came and began streams meanwhile, which the host takes for those of
// the only version that it knows.
TEST(StreamOriginTrackerTest, ATakeUpNeedsAReadAfterItsArrival)
{
  Pass(20s);
  const auto arrival = now - 400ms;
  STRCMP_EQUAL("unconfirmed", OriginAsOf(tracker, arrival).c_str());
  Confirm(tracker, arrival - 1ms);
  STRCMP_EQUAL("unconfirmed", OriginAsOf(tracker, arrival).c_str());
  Confirm(tracker, arrival);
  STRCMP_EQUAL("only version/old", OriginAsOf(tracker, arrival).c_str());
}

// Guards against the same where no host reads the log: that nothing can have
// changed keeps the host's history, but confirms no take-up.
TEST(StreamOriginTrackerTest, AnOutageOfTheLogConfirmsNoTakeUp)
{
  Pass(20s);
  PassOutage(5s);
  STRCMP_EQUAL("unconfirmed", Origin().c_str());
  Confirm(tracker, now);
  STRCMP_EQUAL("only version/old", Origin().c_str());
}

// Guards against refusals of all streams during an outage of the log: those
// that begin in it are recorded.
TEST(StreamOriginTrackerTest, StreamsThatBeginInAnOutageOfTheLogAreRecorded)
{
  Pass(20s);
  PassOutage(5s);
  CHECK_TRUE(tracker.NeedsRecords(kService, now));
  Send(kOld);
  STRCMP_EQUAL("recorded/old", Origin().c_str());
  Confirm(tracker, now);
  CHECK_FALSE(tracker.NeedsRecords(kService, now));
}

// Guards against a record that is refused because the log was not read since.
TEST(StreamOriginTrackerTest, ARecordNeedsNoRead)
{
  Pass(20s);
  AddNewVersion();
  Send(kNew);
  now += 4s;
  STRCMP_EQUAL("recorded/new", Origin().c_str());
}
