// A seeded fuzzer of MessageReader at its bounds. Requests are made from the
// grammar, with sizes around the limits, and some are damaged. Each one is read
// in different pieces: the result must not depend on them, the reader must not
// hold more bytes than its limits allow, and it must agree with a plain
// reference reader on requests that follow the grammar.
//
// By hand, with more rounds or another seed:
//   FIREFLY_READER_ROUNDS=1000000 FIREFLY_READER_SEED=7 http1_test -g
//   MessageReaderFuzzTest

#include "servers/http1/message_reader.h"

#include <algorithm>
#include <array>
#include <charconv>
#include <cstdio>
#include <cstdlib>
#include <functional>
#include <optional>
#include <string>
#include <vector>

#include <sys/mman.h>
#include <sys/wait.h>
#include <unistd.h>

#include "core/random.h"
#include "servers/http1/message_writer.h"

#include <CppUTest/TestHarness.h>

using firefly::HttpHeaders;
using firefly::MessageFault;
using firefly::MessageReader;
using firefly::Random;
using firefly::SameHeaderName;

namespace {

constexpr std::uint64_t kDefaultRounds = 20'000;
constexpr std::uint64_t kDefaultSeed = 20261206;

// The names of generated trailers start with it.
constexpr std::string_view kTrailer = "Trailer-";

const std::string kStart = "POST / HTTP/1.1\r\nHost: h\r\n";
const std::string kChunkedStart = kStart + "Transfer-Encoding: chunked\r\n\r\n";

std::uint64_t
FromEnvironment(const char* aName, std::uint64_t aDefault)
{
  const char* text = std::getenv(aName);
  return text == nullptr ? aDefault : std::strtoull(text, nullptr, 10);
}

// Text that a child process leaves to its parent, also if it aborts.
class SharedText
{
public:
  SharedText()
    : mText(static_cast<char*>(mmap(nullptr,
                                    kSize,
                                    PROT_READ | PROT_WRITE,
                                    MAP_SHARED | MAP_ANONYMOUS,
                                    -1,
                                    0)))
  {
  }
  ~SharedText() { munmap(mText, kSize); }
  SharedText(const SharedText&) = delete;
  SharedText& operator=(const SharedText&) = delete;

  void Set(std::string_view aText)
  {
    const auto n = std::min(aText.size(), kSize - 1);
    std::copy_n(aText.data(), n, mText);
    mText[n] = '\0';
  }
  [[nodiscard]] const char* Get() const { return mText; }

private:
  static constexpr std::size_t kSize = 16U << 10U;
  char* mText;
};

// Runs checks in a child process, so that an abort fails one test and names its
// case. The checks set the text to what they do, and return whether they hold.
void
CheckInChild(const std::function<bool(SharedText&)>& aChecks)
{
  SharedText text;
  const auto child = fork();
  CHECK_TRUE(child >= 0);
  if (child == 0) {
    _exit(aChecks(text) ? 0 : 1);
  }
  int status = 0;
  CHECK_TRUE(waitpid(child, &status, 0) == child);
  const auto ending = WIFSIGNALED(status)
                        ? "ended by signal " + std::to_string(WTERMSIG(status))
                        : std::string("failed");
  CHECK_TRUE_TEXT(status == 0, (ending + ": " + text.Get()).c_str());
}

struct Limits
{
  std::size_t head = 0;
  std::size_t body = 0;
};

// What a reader made of some bytes.
struct Outcome
{
  // One line for each request that was read whole.
  std::vector<std::string> requests;
  std::optional<MessageFault> fault;
  // Of the request that is incomplete, if there is no fault.
  bool hasHead = false;
  std::string partialBody;

  bool operator==(const Outcome&) const = default;
};

std::string
Escaped(std::string_view aBytes)
{
  std::string text;
  for (const char it : aBytes) {
    if (it >= ' ' && it <= '~' && it != '\\') {
      text += it;
      continue;
    }
    std::array<char, 5> code{};
    std::snprintf(code.data(),
                  code.size(),
                  "\\x%02x",
                  static_cast<unsigned>(static_cast<unsigned char>(it)));
    text += code.data();
  }
  return text;
}

std::string
Describe(const std::string& aMethod,
         const std::string& aTarget,
         const HttpHeaders& aHeaders,
         const std::string& aBody)
{
  auto text = aMethod + ' ' + aTarget + '|';
  for (const auto& it : aHeaders) {
    // TrailersAreNotHeaders tests these.
    if (!it.name.starts_with(kTrailer)) {
      text += it.name + ':' + it.value + '|';
    }
  }
  return text + aBody;
}

std::string
ToText(const Outcome& aOutcome)
{
  std::string text;
  for (const auto& it : aOutcome.requests) {
    text += "[" + Escaped(it) + "] ";
  }
  text += aOutcome.fault
            ? "fault " + std::to_string(static_cast<int>(*aOutcome.fault))
            : std::string("no fault");
  return text + (aOutcome.hasHead ? ", head, " : ", ") +
         Escaped(aOutcome.partialBody);
}

// Reads bytes in pieces of the given sizes; the last size is repeated. Sets the
// text of the first violation of a bound.
class PieceReader
{
public:
  explicit PieceReader(const Limits& aLimits)
    : mLimits(aLimits)
    , mReader({ .side = MessageReader::Side::kRequests,
                .maxHeadBytes = aLimits.head,
                .maxBodyBytes = aLimits.body })
  {
  }

  Outcome Read(std::string_view aBytes, const std::vector<std::size_t>& aSizes)
  {
    for (std::size_t i = 0; !aBytes.empty() && !mOutcome.fault; ++i) {
      const auto size =
        std::min(aSizes[std::min(i, aSizes.size() - 1)], aBytes.size());
      Feed(aBytes.substr(0, size));
      aBytes.remove_prefix(size);
    }
    if (!mOutcome.fault) {
      mOutcome.hasHead = mReader.HasHead();
      mOutcome.partialBody = mBody;
    }
    return mOutcome;
  }

  [[nodiscard]] const std::string& Violation() const { return mViolation; }

private:
  void Feed(std::string_view aPiece)
  {
    auto fed = mReader.Feed(aPiece);
    CheckBounds(aPiece.size());
    while (fed && mReader.Done()) {
      const auto& head = mReader.Head();
      mOutcome.requests.push_back(
        Describe(head.method, head.target, head.headers, mBody));
      mBody.clear();
      mReader.Next();
      fed = mReader.Feed({});
      CheckBounds(aPiece.size());
    }
    if (!fed) {
      mOutcome.fault = fed.error();
    }
  }

  void CheckBounds(std::size_t aPiece)
  {
    mBody += mReader.TakeBody();
    if (mBody.size() > mLimits.body) {
      mViolation = "body of " + std::to_string(mBody.size());
    }
    // One piece more than the limit may be there when it is noticed.
    if (mReader.BufferedBytes() > mLimits.head + aPiece) {
      mViolation = "buffer of " + std::to_string(mReader.BufferedBytes());
    }
  }

  Limits mLimits;
  MessageReader mReader;
  Outcome mOutcome;
  std::string mBody;
  std::string mViolation;
};

// Reads whole requests that follow the grammar, without regard to pieces.
class ReferenceReader
{
public:
  ReferenceReader(const Limits& aLimits, std::string_view aBytes)
    : mLimits(aLimits)
    , mBytes(aBytes)
  {
  }

  Outcome Read()
  {
    while (!mOutcome.fault && !mIsIncomplete) {
      ReadRequest();
    }
    return mOutcome;
  }

private:
  void ReadRequest()
  {
    mBody.clear();
    const auto end = mBytes.find("\r\n\r\n");
    const auto size = end == std::string_view::npos ? mBytes.size() : end + 4;
    if (size > mLimits.head) {
      mOutcome.fault = MessageFault::kHeadTooLarge;
      return;
    }
    if (end == std::string_view::npos) {
      mIsIncomplete = true;
      return;
    }
    ParseHead(mBytes.substr(0, end));
    mBytes.remove_prefix(size);
    if (!mOutcome.fault) {
      mIsChunked ? ReadChunks() : ReadPlain();
    }
    if (mOutcome.fault) {
      return;
    }
    if (mIsIncomplete) {
      mOutcome.hasHead = true;
      mOutcome.partialBody = mBody;
      return;
    }
    mOutcome.requests.push_back(Describe(mMethod, mTarget, mHeaders, mBody));
  }

  // Removes and returns the bytes before the separator.
  static std::string_view Cut(std::string_view& aText, std::string_view aEnd)
  {
    const auto at = std::min(aText.find(aEnd), aText.size());
    const auto part = aText.substr(0, at);
    aText.remove_prefix(std::min(at + aEnd.size(), aText.size()));
    return part;
  }

  void ParseHead(std::string_view aHead)
  {
    auto line = Cut(aHead, "\r\n");
    mMethod = Cut(line, " ");
    mTarget = Cut(line, " ");
    mHeaders.clear();
    mIsChunked = false;
    mLength = 0;
    int lengths = 0;
    int codings = 0;
    while (!aHead.empty()) {
      auto value = Cut(aHead, "\r\n");
      const std::string name(Cut(value, ":"));
      value.remove_prefix(std::min(value.find_first_not_of(' '), value.size()));
      mHeaders.push_back({ name, std::string(value) });
      if (SameHeaderName(name, "Content-Length")) {
        ++lengths;
        const auto parsed =
          std::from_chars(value.data(), value.data() + value.size(), mLength);
        if (parsed.ec != std::errc() || value.empty() ||
            parsed.ptr != value.data() + value.size()) {
          mOutcome.fault = MessageFault::kMalformed;
        }
      } else if (SameHeaderName(name, "Transfer-Encoding")) {
        ++codings;
        mIsChunked = SameHeaderName(value, "chunked");
      }
    }
    if (lengths + codings > 1 || (codings == 1 && !mIsChunked)) {
      mOutcome.fault = MessageFault::kMalformed;
    } else if (!mOutcome.fault && mLength > mLimits.body) {
      mOutcome.fault = MessageFault::kBodyTooLarge;
    }
  }

  void ReadPlain()
  {
    mBody = mBytes.substr(0, mLength);
    mBytes.remove_prefix(mBody.size());
    mIsIncomplete = mBody.size() < mLength;
  }

  void ReadChunks()
  {
    while (true) {
      if (mBytes.find("\r\n") == std::string_view::npos) {
        mIsIncomplete = true;
        return;
      }
      auto line = Cut(mBytes, "\r\n");
      const auto digits = Cut(line, ";");
      std::uint64_t size = 0;
      const auto parsed =
        std::from_chars(digits.data(), digits.data() + digits.size(), size, 16);
      if (parsed.ec != std::errc()) {
        mOutcome.fault = MessageFault::kMalformed;
        return;
      }
      if (size > mLimits.body - mBody.size()) {
        mOutcome.fault = MessageFault::kBodyTooLarge;
        return;
      }
      if (size == 0) {
        SkipTrailers();
        return;
      }
      mBody += mBytes.substr(0, size);
      if (mBytes.size() < size + 2) {
        mIsIncomplete = true;
        return;
      }
      mBytes.remove_prefix(size + 2);
    }
  }

  void SkipTrailers()
  {
    while (mBytes.find("\r\n") != std::string_view::npos) {
      if (Cut(mBytes, "\r\n").empty()) {
        return;
      }
    }
    mIsIncomplete = true;
  }

  Limits mLimits;
  std::string_view mBytes;
  Outcome mOutcome;
  bool mIsIncomplete = false;
  std::string mMethod;
  std::string mTarget;
  HttpHeaders mHeaders;
  std::string mBody;
  bool mIsChunked = false;
  std::uint64_t mLength = 0;
};

// Makes requests from the grammar.
class Generator
{
public:
  Generator(Random& aRandom, const Limits& aLimits)
    : mRandom(aRandom)
    , mLimits(aLimits)
  {
  }

  // One to three requests. Most are complete.
  std::string Make()
  {
    std::string bytes;
    for (auto n = mRandom.Below(3) + 1; n > 0; --n) {
      bytes += MakeRequest();
    }
    if (mRandom.Chance(0.2)) {
      bytes.resize(mRandom.Below(bytes.size()));
    }
    return bytes;
  }

private:
  // A size below, at or above the limit, or any below it.
  std::size_t SizeAround(std::size_t aLimit)
  {
    if (mRandom.Chance(0.4)) {
      return mRandom.Below(aLimit + 1);
    }
    return aLimit + mRandom.Below(3) - (aLimit > 0 ? 1 : 0);
  }

  std::string Pick(const std::vector<std::string>& aChoices)
  {
    return aChoices[mRandom.Below(aChoices.size())];
  }

  std::string MakeRequest()
  {
    const auto kind = mRandom.Below(10);
    auto head = Pick({ "GET", "POST", "PUT" }) + " /" +
                std::string(mRandom.Below(8), 'p') + " HTTP/1.1\r\nHost: h\r\n";
    std::string body;
    if (kind < 4) {
      const auto size = SizeAround(mLimits.body);
      head += "Content-Length: " + std::to_string(size) + "\r\n";
      body = MakeBytes(size);
    } else if (kind < 8) {
      head += Pick(
        { "Transfer-Encoding: chunked\r\n", "transfer-encoding: Chunked\r\n" });
      body = MakeChunks();
    } else if (kind == 8) {
      head +=
        Pick({ "Content-Length: 1\r\nContent-Length: 2\r\n",
               "Content-Length: 1\r\nTransfer-Encoding: chunked\r\n",
               "Transfer-Encoding: chunked\r\nContent-Length: 3\r\n",
               "Transfer-Encoding: chunked\r\ntransfer-encoding:chunked\r\n",
               "Transfer-Encoding: gzip, chunked\r\n",
               "Content-Length: -1\r\n",
               "Content-Length: 1x\r\n",
               "Content-Length: 18446744073709551616\r\n",
               "Content-Length: 18446744073709551615\r\n" });
    }
    return Padded(head) + "\r\n" + body;
  }

  // Adds a header so that the head has a size around its limit.
  std::string Padded(const std::string& aHead)
  {
    const auto size = SizeAround(mLimits.head);
    const std::string name = "X: ";
    const auto rest = aHead.size() + name.size() + 4;
    if (mRandom.Chance(0.5) || size <= rest) {
      return aHead;
    }
    return aHead + name + std::string(size - rest, 'x') + "\r\n";
  }

  // Contains what would end lines and messages elsewhere.
  std::string MakeBytes(std::size_t aCount)
  {
    std::string bytes;
    while (bytes.size() < aCount) {
      bytes += Pick({ "\r\n", "0\r\n\r\n", "a", "GET ", std::string(1, '\0') });
    }
    bytes.resize(aCount);
    return bytes;
  }

  std::string MakeChunks()
  {
    auto left = SizeAround(mLimits.body);
    std::string bytes;
    while (left > 0) {
      const auto size =
        mRandom.Chance(0.3) ? left : std::min(left, mRandom.Below(9) + 1);
      std::array<char, 24> digits{};
      std::snprintf(digits.data(),
                    digits.size(),
                    mRandom.Chance(0.5) ? "%zx" : "%04zX",
                    static_cast<std::size_t>(size));
      bytes +=
        digits.data() + MakeExtension() + "\r\n" + MakeBytes(size) + "\r\n";
      left -= size;
    }
    bytes += Pick({ "0", "000" }) + MakeExtension() + "\r\n";
    for (auto n = mRandom.Below(3); n > 0; --n) {
      bytes += std::string(kTrailer) + std::to_string(n) + ": " +
               std::string(mRandom.Below(20), 't') + "\r\n";
    }
    return bytes + "\r\n";
  }

  std::string MakeExtension()
  {
    if (mRandom.Chance(0.7)) {
      return {};
    }
    return Pick({ ";a", ";a=b", ";a=\"q;\"", ";a=b;c=d" });
  }

  Random& mRandom;
  Limits mLimits;
};

std::string
Damaged(std::string aBytes, Random& aRandom)
{
  for (auto n = aRandom.Below(3) + 1; n > 0 && !aBytes.empty(); --n) {
    const auto at = aRandom.Below(aBytes.size());
    switch (aRandom.Below(3)) {
      case 0:
        aBytes[at] = static_cast<char>(aRandom.Below(256));
        break;
      case 1:
        aBytes.erase(at, aRandom.Below(3) + 1);
        break;
      default:
        aBytes.insert(at, aBytes.substr(aRandom.Below(aBytes.size()), 4));
    }
  }
  return aBytes;
}

// Ways to cut the bytes: whole, single bytes, two parts, random pieces.
std::vector<std::vector<std::size_t>>
MakeCuts(std::size_t aSize, Random& aRandom)
{
  std::vector<std::size_t> random(8);
  for (auto& it : random) {
    it = aRandom.Below(40) + 1;
  }
  return {
    { aSize + 1 }, { 1 }, { aRandom.Below(aSize + 1) + 1, aSize + 1 }, random
  };
}

} // namespace

TEST_GROUP(MessageReaderFuzzTest){
  static std::string Where(const std::string& aName,
                           const Limits& aLimits,
                           const std::string& aBytes){
    return aName + ", head " + std::to_string(aLimits.head) + ", body " +
           std::to_string(aLimits.body) + ", bytes " + Escaped(aBytes);
}

// Whether the outcome is the same for all cuts and within the bounds.
// Otherwise the text says what differs.
static std::optional<Outcome>
ReadInAllCuts(const std::string& aBytes,
              const Limits& aLimits,
              const std::vector<std::vector<std::size_t>>& aCuts,
              const std::string& aName,
              SharedText& aText)
{
  std::optional<Outcome> first;
  for (const auto& cut : aCuts) {
    const auto where = Where(aName, aLimits, aBytes) + ", first pieces " +
                       std::to_string(cut.front()) + " " +
                       std::to_string(cut.back());
    aText.Set(where);
    PieceReader reader(aLimits);
    const auto outcome = reader.Read(aBytes, cut);
    if (!reader.Violation().empty()) {
      aText.Set(reader.Violation() + ": " + where);
      return std::nullopt;
    }
    if (first && outcome != *first) {
      aText.Set(where + "\nwhole: " + ToText(*first) +
                "\nin pieces: " + ToText(outcome));
      return std::nullopt;
    }
    first = outcome;
  }
  return first;
}

static bool
AgreesWithReference(const std::string& aBytes,
                    const Limits& aLimits,
                    const Outcome& aOutcome,
                    const std::string& aName,
                    SharedText& aText)
{
  const auto expected = ReferenceReader(aLimits, aBytes).Read();
  aText.Set(Where(aName, aLimits, aBytes) + "\nexpected: " + ToText(expected) +
            "\nread: " + ToText(aOutcome));
  return expected == aOutcome;
}

static bool
HoldsForSeed(std::uint64_t aSeed, SharedText& aText)
{
  Random random(aSeed);
  const Limits limits{ .head = 80 + random.Below(200),
                       .body = random.Below(60) };
  const auto bytes = Generator(random, limits).Make();
  const auto name = "seed " + std::to_string(aSeed);
  const auto outcome =
    ReadInAllCuts(bytes, limits, MakeCuts(bytes.size(), random), name, aText);
  if (!outcome || !AgreesWithReference(bytes, limits, *outcome, name, aText)) {
    return false;
  }
  const auto damaged = Damaged(bytes, random);
  return ReadInAllCuts(damaged,
                       limits,
                       MakeCuts(damaged.size(), random),
                       name + " damaged",
                       aText)
    .has_value();
}

// Reads the bytes cut at every position, and in single bytes.
static void
CheckEveryCut(const std::string& aBytes)
{
  const Limits limits{ .head = 100, .body = 10 };
  std::vector<std::vector<std::size_t>> cuts{ { aBytes.size() }, { 1 } };
  for (std::size_t i = 1; i < aBytes.size(); ++i) {
    cuts.push_back({ i, aBytes.size() });
  }
  CheckInChild([&](SharedText& aText) {
    return ReadInAllCuts(aBytes, limits, cuts, "corpus", aText).has_value();
  });
}
}
;

TEST(MessageReaderFuzzTest, RequestsAtTheBoundsAreReadAlikeInAnyPieces)
{
  const auto rounds = FromEnvironment("FIREFLY_READER_ROUNDS", kDefaultRounds);
  const auto seed = FromEnvironment("FIREFLY_READER_SEED", kDefaultSeed);
  CheckInChild([&](SharedText& aText) {
    for (std::uint64_t i = 0; i < rounds; ++i) {
      if (!HoldsForSeed(seed + i, aText)) {
        return false;
      }
    }
    return true;
  });
}

// The last chunk comes first, and its end in pieces.
TEST(MessageReaderFuzzTest, AnEmptyChunkedBodyIsReadInAnyPieces)
{
  CheckEveryCut(kChunkedStart + "0\r\n\r\n");
}

TEST(MessageReaderFuzzTest, CorpusIsReadAlikeInAnyPieces)
{
  for (const auto& it : {
         kStart + "Content-Length: 10\r\n\r\n0123456789",
         kStart + "Content-Length: 11\r\n\r\n0123456789a",
         kStart + "Content-Length: 0\r\n\r\nGET / HTTP/1.1\r\nHost: h\r\n\r\n",
         kStart +
           "Content-Length: 2\r\n\r\n\r\nGET / HTTP/1.1\r\nHost: h\r\n\r\n",
         kStart + "Content-Length: 1\r\nContent-Length: 1\r\n\r\na",
         kStart + "Content-Length: 18446744073709551615\r\n\r\n",
         kChunkedStart + "a\r\n0123456789\r\n0\r\n\r\n",
         kChunkedStart + "b\r\n0123456789a\r\n0\r\n\r\n",
         kChunkedStart + "9\r\n012345678\r\n2\r\nab\r\n0\r\n\r\n",
         kChunkedStart + "ffffffffffffffff\r\na",
         kChunkedStart + "10000000000000001\r\na",
         kChunkedStart + "1;x=\"\r\n\"\r\na\r\n0\r\n\r\n",
         kChunkedStart + "1 ;x\r\na\r\n0\r\nT: t\r\nU: u\r\n\r\nGET / "
                         "HTTP/1.1\r\nHost: h\r\n\r\n",
         kChunkedStart + "1\na\n0\n\n",
         kChunkedStart + "1\r\nab\r\n0\r\n\r\n",
         kChunkedStart + "-1\r\na\r\n0\r\n\r\n",
         kChunkedStart + "\r\n0\r\n\r\n",
       }) {
    CheckEveryCut(it);
  }
}

// Each further piece counted the chunk's size against the body's limit again.
TEST(MessageReaderFuzzTest, AnUnclosedChunkExtensionIsReadAlikeInAnyPieces)
{
  CheckEveryCut(kChunkedStart + "9;a=\"q\r\n123456789\r\n0\r\n\r\n");
}

// Trailers arrive after the head was judged. As headers, they could set what a
// head is not allowed to (RFC 9110, section 6.5.1).
TEST(MessageReaderFuzzTest, TrailersAreNotHeaders)
{
  MessageReader reader({ .side = MessageReader::Side::kRequests });
  CHECK_TRUE(reader.Feed(kChunkedStart + "1\r\na\r\n0\r\nX-Trailer: x\r\n\r\n")
               .has_value());
  CHECK_TRUE(reader.Done());
  UNSIGNED_LONGS_EQUAL(2, reader.Head().headers.size());
}

// A head that is dropped without a fault gets no response, and what follows it
// is read as the next request.
TEST(MessageReaderFuzzTest, AHeadWithAShortVersionIsMalformed)
{
  MessageReader reader({ .side = MessageReader::Side::kRequests });
  CHECK_FALSE(reader.Feed("GET / H\r\n\r\n").has_value());
}
