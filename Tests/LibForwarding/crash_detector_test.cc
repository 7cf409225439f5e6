#include "LibForwarding/crash_detector.h"

#include <catch2/catch.hpp>
#include <functional>

#include "Tests/Support/RawServer/raw_server.h"
#include "Tests/Support/free_address.h"

namespace wasabi::forwarding {
namespace {

constexpr uint64_t kDigest = 7;
const RequestFingerprint kRequest{.content = kDigest, .parts = {}};

struct Fixture {
  Endpoint MakeEndpoint(const char* id, const core::SocketAddress& address) {
    Endpoint endpoint;
    endpoint.id = core::RunnerId(id);
    endpoint.address = address;
    return endpoint;
  }

  void RunFor(core::Duration duration) {
    const auto timer = loop.NewTimer([this]() { loop.Stop(); });
    timer->StartOnce(duration);
    loop.Run();
  }

  bool IsRefused() { return suspects.IsRefused(kRequest, loop.Now()); }

  core::EventLoop loop;
  core::EventRing events{"test", 100};
  CrashSuspects suspects;
  EndpointTable endpoints;
  CarrierDirectory carriers{core::DataCentreId("z1"), 1};
  PathProber path{&loop, &events, &endpoints, &carriers, 1};
  CrashDetector watch{&loop, &events, &suspects, &path};
};

constexpr core::Duration kInvestigationTime = core::milliseconds(600);

TEST_CASE(
    "content whose connections broke at two crashed endpoints is refused") {
  Fixture it;
  const core::SocketAddress closed =
      support::FreeAddress(support::LoopbackIp(4));
  it.watch.RecordBrokenConnection(it.MakeEndpoint("e1", closed), kRequest);
  it.RunFor(kInvestigationTime);
  CHECK_FALSE(it.IsRefused());
  it.watch.RecordBrokenConnection(it.MakeEndpoint("e2", closed), kRequest);
  it.RunFor(kInvestigationTime);
  CHECK(it.IsRefused());
}

TEST_CASE("a broken connection to a running endpoint is not a crash") {
  Fixture it;
  const support::RawServer server(&it.loop,
                                  support::FreeAddress(support::LoopbackIp(5)));
  for (const char* id : {"e1", "e2", "e3"}) {
    it.watch.RecordBrokenConnection(it.MakeEndpoint(id, server.address()),
                                    kRequest);
  }
  it.RunFor(kInvestigationTime);
  CHECK(it.suspects.crash_count() == 0);
  CHECK_FALSE(it.IsRefused());
}

}  // namespace
}  // namespace wasabi::forwarding
