#include "Tests/Support/ForwarderFixture/endpoint_links.h"

#include <catch2/catch.hpp>
#include <utility>

#include "Tests/Support/free_address.h"

namespace wasabi::support {

EndpointLinks::EndpointLinks(ForwarderFixture* fixture, uint32_t first_ip) {
  const RawServer* servers[] = {&fixture->first, &fixture->second};
  const char* ids[] = {"e1", "e2"};
  for (uint32_t i = 0; i < 2; ++i) {
    const core::SocketAddress address = FreeAddress(LoopbackIp(first_ip + i));
    faults_.push_back(std::make_unique<LinkFaults>(i));
    auto relay = TcpRelay::Create(&fixture->loop, address,
                                  servers[i]->address(), faults_[i].get());
    REQUIRE(relay.ok());
    relays_.push_back(*std::move(relay));
    map[ids[i]] = address;
  }
}

void EndpointLinks::Cut(LinkCut kind, core::TimePoint now) {
  for (size_t i = 0; i < relays_.size(); ++i) {
    TcpRelay& relay = *relays_[i];
    switch (kind) {
      case LinkCut::kHang:
        relay.StallAll();
        relay.IgnoreConnections();
        break;
      case LinkCut::kReset:
        relay.ResetAll();
        relay.RefuseConnections();
        break;
      case LinkCut::kSpareOpen:
        relay.RefuseConnections();
        break;
      case LinkCut::kOneWay:
        faults_[i]->Inject(
            {.kind = LinkFaultKind::kFreeze, .affects_to_target = false}, now);
        relay.IgnoreConnections();
        break;
    }
  }
}

void EndpointLinks::Restore(core::TimePoint now) {
  for (size_t i = 0; i < relays_.size(); ++i) {
    faults_[i]->Inject({.kind = LinkFaultKind::kClear}, now);
    REQUIRE(relays_[i]->AcceptConnections().ok());
  }
}

size_t EndpointLinks::open_connections() const {
  return relays_[0]->open_connections() + relays_[1]->open_connections();
}

}  // namespace wasabi::support
