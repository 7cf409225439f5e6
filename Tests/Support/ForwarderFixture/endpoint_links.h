// The links from one host to the endpoints of a ForwarderFixture, which can be
// cut and restored.

#ifndef TESTS_SUPPORT_FORWARDERFIXTURE_ENDPOINT_LINKS_H_
#define TESTS_SUPPORT_FORWARDERFIXTURE_ENDPOINT_LINKS_H_

#include <cstdint>
#include <memory>
#include <vector>

#include "Tests/Support/FaultProxy/link_faults.h"
#include "Tests/Support/FaultProxy/tcp_relay.h"
#include "Tests/Support/ForwarderFixture/forwarder_fixture.h"

namespace wasabi::support {

enum class LinkCut : uint8_t {
  // Nothing passes, and nothing is said of it.
  kHang,
  // Open connections are reset and new ones are refused.
  kReset,
  // Open connections live on and new ones are refused.
  kSpareOpen,
  // What endpoints send does not arrive.
  kOneWay,
};

class EndpointLinks {
 public:
  // The links' addresses are on the loopback addresses from `first_ip` on.
  EndpointLinks(ForwarderFixture* fixture, uint32_t first_ip);

  void Cut(LinkCut kind, core::TimePoint now);
  void Restore(core::TimePoint now);

  size_t open_connections() const;

  EndpointLinkMap map;

 private:
  std::vector<std::unique_ptr<LinkFaults>> faults_;
  std::vector<std::unique_ptr<TcpRelay>> relays_;
};

}  // namespace wasabi::support

#endif  // TESTS_SUPPORT_FORWARDERFIXTURE_ENDPOINT_LINKS_H_
