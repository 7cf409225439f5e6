#include "LibForwarding/origin_certainty.h"

#include <catch2/catch.hpp>
#include <string>
#include <string_view>

namespace wasabi::forwarding {
namespace {

const core::SocketAddress kAddress(1, 1);
constexpr int64_t kStart = 7;
constexpr int64_t kLaterStart = 8;

core::TimePoint At(int64_t ms) {
  return core::TimePoint() + core::seconds(1000) + core::milliseconds(ms);
}

Endpoint RegisteredAt(int64_t started_at_ms) {
  Endpoint endpoint;
  endpoint.id = core::RunnerId("e");
  endpoint.pool = core::PoolId("p");
  endpoint.address = kAddress;
  endpoint.started_at_ms = started_at_ms;
  return endpoint;
}

// Applies one step every 100 ms: b breaks, c connects, r reads what is
// registered at the time of the step, o reads a new start, w and W write the
// registration, W that of a later start, l writes one that was sent long ago, e
// the endpoint is heard, f the host stands still for a while, h the log has a
// new history, - nothing.
struct Play {
  OriginCertainty certainty;
  LogPosition end{.epoch = 1, .offset = 10};
  int64_t ms = 0;

  void Apply(std::string_view steps) {
    for (const char step : steps) {
      ms += 100;
      if (step != 'f') {
        certainty.RecordTurn(At(ms));
      } else {
        ms += 300;
      }
      Apply(step);
    }
  }

  void Apply(char step) {
    switch (step) {
      case 'b':
        certainty.RecordBreak(kAddress, At(ms));
        break;
      case 'c':
        certainty.RecordConnected(kAddress, At(ms));
        break;
      case 'r':
        certainty.RecordRead(At(ms), end);
        break;
      case 'o':
        certainty.RecordRead(At(ms), end, {kAddress});
        break;
      case 'w':
      case 'W':
        certainty.RecordRegistration(
            RegisteredAt(step == 'w' ? kStart : kLaterStart), end);
        ++end.offset;
        break;
      case 'l':
        certainty.RecordRegistration(RegisteredAt(kStart),
                                     {.epoch = end.epoch, .offset = 1});
        break;
      case 'e':
        certainty.RecordHeard(kAddress, At(ms));
        break;
      case 'h':
        end = {.epoch = end.epoch + 1, .offset = 5};
        break;
      default:
        break;
    }
  }
};

struct CertaintyCase {
  const char* what;
  std::string_view steps;
  bool is_certain;
  bool is_read_lately;
};

TEST_CASE("a registration counts once the process is known to be registered") {
  const CertaintyCase cases[] = {
      {"nothing broke", "cr", true, true},
      {"broken", "crb", false, false},
      {"broken and connected", "bc", false, false},
      {"read before the connection", "brc", false, true},
      {"read long before the connection", "br----c", false, false},
      {"read after the connection", "bcr", false, true},
      {"broken again", "bcrb", false, false},
      {"broken between connection and read", "bcbr", false, true},
      {"the read shows another start", "bco", false, false},
      {"written again since the read", "bcrw", true, true},
      {"written again since a read that shows another start", "bcow", true,
       false},
      {"written again without a read", "bcw", false, false},
      {"written again before the connection", "brwcr", false, true},
      {"a late write from before the connection", "bcrl", false, true},
      {"written again, then broken", "bcrwb", false, false},
      {"written again as a later start", "bcrW", false, true},
      {"a late write after that of the later start", "bcrWw", false, true},
      {"written again in another history", "bcrhw", false, true},
      {"read and written again in another history", "bcrhrw", true, true},
      {"heard just before", "---ebc", true, true},
      {"heard while in doubt", "---bcebc", false, false},
      {"heard while in doubt, written again", "---bcrebcw", true, false},
      {"heard while in doubt, broken twice", "---bcebbc", false, false},
      {"heard, broken twice", "---ebbc", true, true},
      {"heard too long before", "---eb--c", false, false},
      {"heard too long before the break", "---e---bc", false, false},
      {"heard just before, refused, back soon", "---ebb--c", false, false},
      {"heard after standing still", "---febc", false, false},
      {"heard before standing still", "---efbc", false, false},
  };
  for (const CertaintyCase& row : cases) {
    INFO(row.what);
    Play it;
    it.Apply(row.steps);
    CHECK(it.certainty.IsCertain(RegisteredAt(kStart)) == row.is_certain);
    CHECK(it.certainty.IsReadLately(kAddress, At(it.ms)) == row.is_read_lately);
    EndpointTable endpoints;
    endpoints.Put(RegisteredAt(kStart));
    it.certainty.Settle(endpoints);
    CHECK(it.certainty.IsCertain(RegisteredAt(kStart)) == row.is_certain);
    // What was settled doesn't come back.
    CHECK(it.certainty.IsCertain(RegisteredAt(kLaterStart)) ==
          (row.is_certain || row.steps.find('W') != std::string::npos));
  }
}

TEST_CASE("a stream's origin is told once, when its endpoint is certain") {
  for (const bool breaks : {false, true}) {
    Play it;
    EndpointTable endpoints;
    endpoints.Put(RegisteredAt(kStart));
    std::string outcomes;
    it.Apply("bc");
    it.certainty.WhenCertain(kAddress, At(200), [&outcomes](bool has_broken) {
      outcomes += has_broken ? "broken " : "same ";
    });
    CHECK_FALSE(it.certainty.IsReadDue(At(300)));
    CHECK(it.certainty.IsReadDue(At(700)));
    CHECK_FALSE(it.certainty.IsReadDue(At(6000)));
    CHECK_FALSE(it.certainty.NeededFrom(At(it.ms)));
    it.Apply("r");
    const LogPosition end = it.end;
    CHECK(it.certainty.NeededFrom(At(it.ms)) == end);
    // A read with a gap before it doesn't count, and old doubts end the reads.
    const auto after = [&end](int n) {
      return LogPosition{.epoch = end.epoch, .offset = end.offset + n};
    };
    it.certainty.RecordScan(after(1), after(4));
    CHECK(it.certainty.NeededFrom(At(it.ms)) == end);
    it.certainty.RecordScan(end, after(3));
    CHECK(it.certainty.NeededFrom(At(it.ms)) == after(3));
    CHECK_FALSE(it.certainty.NeededFrom(At(it.ms + 6000)));
    it.certainty.Settle(endpoints);
    CHECK(outcomes.empty());
    if (breaks) {
      it.Apply("bcr");
    }
    it.Apply("w");
    it.certainty.Settle(endpoints);
    it.certainty.Settle(endpoints);
    CHECK(outcomes == (breaks ? "broken " : "same "));
    CHECK_FALSE(it.certainty.IsReadDue(At(2000)));
    CHECK_FALSE(it.certainty.is_awaited());
    CHECK_FALSE(it.certainty.NeededFrom(At(it.ms)));
  }
}

}  // namespace
}  // namespace wasabi::forwarding
