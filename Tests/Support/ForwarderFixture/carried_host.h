// A host that has lost its links to the endpoints and reaches them through
// another host, its only carrier.

#ifndef TESTS_SUPPORT_FORWARDERFIXTURE_CARRIED_HOST_H_
#define TESTS_SUPPORT_FORWARDERFIXTURE_CARRIED_HOST_H_

#include <cstdint>

#include "Tests/Support/ForwarderFixture/endpoint_links.h"
#include "Tests/Support/ForwarderFixture/forwarder_fixture.h"

namespace wasabi::support {

class CarriedHost {
 public:
  // How the carrier reaches the endpoints.
  enum class CarrierWay : uint8_t {
    // Through links that can be cut. They take bytes that endpoints don't.
    kLinks,
    kDirect,
  };

  // Returns once requests reach the endpoints through the carrier. Its grace
  // period is `carrier_grace`.
  explicit CarriedHost(core::Duration carrier_grace = core::seconds(2),
                       CarrierWay way = CarrierWay::kLinks);

  ForwarderFixture fixture;

 protected:
  EndpointLinks links_;
  EndpointLinks carrier_links_;
  FixturePeer* carrier_ = nullptr;
};

}  // namespace wasabi::support

#endif  // TESTS_SUPPORT_FORWARDERFIXTURE_CARRIED_HOST_H_
