// Regression test: an endpoint that may have restarted since its registration
// was read may run another software version. A stream must not go on there.

#include <catch2/catch.hpp>
#include <string>

#include "LibCore/text.h"
#include "Tests/Support/ForwarderFixture/forwarder_fixture.h"

namespace wasabi::forwarder {
namespace {

using support::CallerResult;
using support::ChunkedStreamStart;
using support::ForwarderFixture;
using support::kClose;
using support::kStreamEnd;

constexpr const char* kEvent1 = "id: 1\ndata: a\n\n";
constexpr const char* kEvent2 = "id: 2\ndata: b\n\n";

void RunFor(ForwarderFixture& it, core::Duration duration) {
  const core::TimePoint end = it.loop.Now() + duration;
  it.RunUntil([&]() { return it.loop.Now() >= end; });
}

struct RestartCase {
  const char* what;
  bool is_store_down;
  // The only other endpoint has closed all its connections at once.
  bool has_broken_connection;
  bool goes_on;
};

TEST_CASE("a stream is not continued at an endpoint that may have restarted") {
  const RestartCase cases[] = {
      {"the store works", false, false, true},
      {"the store is away", true, false, true},
      {"the store works, a connection broke", false, true, true},
      {"the store is away, a connection broke", true, true, false},
  };
  for (const RestartCase& row : cases) {
    INFO(row.what);
    ForwarderFixture it({.is_first_start = true});
    it.Configure();
    it.store->SetDown(row.is_store_down);
    it.request_id = "id0";
    // Requests reach both endpoints until the second one has served some.
    for (int i = 0; i < 20 && it.second.requests() < 2; ++i) {
      it.script = {ChunkedStreamStart(kEvent1 + std::string(kEvent2), "id0") +
                   kStreamEnd};
      it.Get("/resumable/1");
    }
    REQUIRE(it.second.requests() >= 2);
    if (row.has_broken_connection) {
      // The endpoint has crashed and is back at once at its address.
      it.second.CloseAll();
    }
    RunFor(it, core::milliseconds(300));
    // Only streams that begin at the first endpoint count.
    bool has_begun = false;
    for (int i = 0; i < 40 && !has_begun; ++i) {
      const int first_before = it.first.requests();
      const int second_before = it.second.requests();
      it.request_id = fmt::format("id{}", i + 1);
      it.script = {ChunkedStreamStart(kEvent1, it.request_id) + kClose,
                   ChunkedStreamStart(kEvent2, it.request_id) + kStreamEnd};
      const CallerResult result = it.Get("/resumable/1");
      const int at_first = it.first.requests() - first_before;
      const int at_second = it.second.requests() - second_before;
      if (at_first == 0) {
        continue;
      }
      has_begun = true;
      INFO(at_first << " " << at_second << " " << result.body);
      CHECK((at_second > 0) == row.goes_on);
    }
    CHECK(has_begun);
  }
}

}  // namespace
}  // namespace wasabi::forwarder
