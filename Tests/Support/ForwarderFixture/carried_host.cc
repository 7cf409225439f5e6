#include "Tests/Support/ForwarderFixture/carried_host.h"

#include <catch2/catch.hpp>

namespace wasabi::support {

CarriedHost::CarriedHost(core::Duration carrier_grace, CarrierWay way)
    : links_(&fixture, 30), carrier_links_(&fixture, 40) {
  fixture.links = links_.map;
  fixture.shutdown_grace = carrier_grace;
  fixture.Configure();
  carrier_ = fixture.AddPeer(
      "h2", way == CarrierWay::kLinks ? carrier_links_.map : EndpointLinkMap());
  links_.Cut(LinkCut::kReset, fixture.loop.Now());
  const auto is_carried = [this]() {
    fixture.script = {ScriptedSuccess("ok")};
    return fixture.Get("/safe/1").status == 200;
  };
  REQUIRE(fixture.RunUntil(is_carried));
  fixture.received.clear();
}

}  // namespace wasabi::support
