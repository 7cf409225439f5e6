// The records of the platform, as one host of a test reads them whose ways to
// the endpoints can be cut.

#ifndef TESTS_SUPPORT_FORWARDERFIXTURE_LINKED_RECORDS_H_
#define TESTS_SUPPORT_FORWARDERFIXTURE_LINKED_RECORDS_H_

#include <map>
#include <memory>
#include <optional>
#include <string>
#include <utility>

#include "LibCore/socket_address.h"
#include "LibForwarding/adapter_set.h"

namespace wasabi::support {

// The address at which one daemon reaches each endpoint, by the endpoint's id.
// Endpoints that are not listed are reached where they are registered.
using EndpointLinkMap = std::map<std::string, core::SocketAddress>;

// Decodes records as `inner` does, but states the addresses of a daemon's links
// for the endpoints.
class LinkedRecords : public forwarding::RecordProtocol {
 public:
  LinkedRecords(std::unique_ptr<forwarding::RecordProtocol> inner,
                const EndpointLinkMap* links)
      : inner_(std::move(inner)), links_(links) {}

  absl::StatusOr<forwarding::RouteTableView> DecodeConfiguration(
      const std::string& text) const override {
    return inner_->DecodeConfiguration(text);
  }
  absl::StatusOr<forwarding::Registration> DecodeRegistration(
      const std::string& id,
      const std::string& text) const override {
    auto registration = inner_->DecodeRegistration(id, text);
    const auto link = links_->find(id);
    if (registration.ok() && link != links_->end()) {
      registration->endpoint.address = link->second;
    }
    return registration;
  }
  std::optional<core::DataCentreId> EvacuatedDataCentre(
      const std::string& key) const override {
    return inner_->EvacuatedDataCentre(key);
  }

 private:
  const std::unique_ptr<forwarding::RecordProtocol> inner_;
  const EndpointLinkMap* const links_;
};

}  // namespace wasabi::support

#endif  // TESTS_SUPPORT_FORWARDERFIXTURE_LINKED_RECORDS_H_
