#include "LibForwarding/origin_certainty.h"

#include <catch2/catch.hpp>
#include <string>
#include <string_view>

namespace wasabi::forwarding {
namespace {

const core::SocketAddress kAddress(1, 1);

core::TimePoint At(int64_t ms) {
  return core::TimePoint() + core::seconds(1000) + core::milliseconds(ms);
}

struct CertaintyCase {
  const char* what;
  // One step every 100 ms: b breaks, c connects, r reads what is registered at
  // the time of the step, o reads a new start, - nothing.
  std::string_view steps;
  bool is_certain;
  bool is_read_lately;
};

TEST_CASE("a registration counts after a read that follows a connection") {
  const CertaintyCase cases[] = {
      {"nothing broke", "cr", true, true},
      {"broken", "crb", false, false},
      {"broken and connected", "bc", false, false},
      {"read before the connection", "brc", false, true},
      {"read long before the connection", "br----c", false, false},
      {"read after the connection", "bcr", true, true},
      {"broken again", "bcrb", false, false},
      {"broken between connection and read", "bcbr", false, true},
      {"the read shows another start", "bco", false, false},
      {"the new start is held by now", "bcor", true, true},
  };
  for (const CertaintyCase& row : cases) {
    INFO(row.what);
    OriginCertainty it;
    int64_t ms = 0;
    for (const char step : row.steps) {
      ms += 100;
      switch (step) {
        case 'b':
          it.RecordBreak(kAddress, At(ms));
          break;
        case 'c':
          it.RecordConnected(kAddress, At(ms));
          break;
        case 'r':
          it.RecordRead(At(ms));
          break;
        case 'o':
          it.RecordRead(At(ms), {kAddress});
          break;
        default:
          break;
      }
    }
    CHECK(it.IsCertain(kAddress) == row.is_certain);
    CHECK(it.IsReadLately(kAddress, At(ms)) == row.is_read_lately);
  }
}

TEST_CASE("a stream's origin is told once, by a read that began after it") {
  for (const bool breaks : {false, true}) {
    OriginCertainty it;
    std::string outcomes;
    it.RecordBreak(kAddress, At(0));
    it.RecordConnected(kAddress, At(100));
    it.AfterRead(kAddress, At(200), [&outcomes](bool has_broken) {
      outcomes += has_broken ? "broken " : "same ";
    });
    CHECK_FALSE(it.IsReadDue(At(300)));
    CHECK(it.IsReadDue(At(700)));
    it.RecordRead(At(150));
    CHECK(outcomes.empty());
    if (breaks) {
      it.RecordBreak(kAddress, At(800));
    }
    it.RecordRead(At(1000), {kAddress});
    CHECK(outcomes.empty());
    it.RecordRead(At(1000));
    it.RecordRead(At(1100));
    CHECK(outcomes == (breaks ? "broken " : "same "));
    CHECK_FALSE(it.IsReadDue(At(2000)));
    CHECK_FALSE(it.is_awaited());
  }
}

}  // namespace
}  // namespace wasabi::forwarding
