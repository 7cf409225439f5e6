// Bundles everything in forwarding that depends on the platform. An adapter
// library creates the set; the daemon refers to nothing else of the platform.

#ifndef LIBFORWARDING_ADAPTER_SET_H_
#define LIBFORWARDING_ADAPTER_SET_H_

#include <compare>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "LibForwarding/protocols.h"
#include "LibForwarding/registration.h"
#include "LibForwarding/route_table.h"
#include "LibPlatform/keyed_topic_client.h"
#include "absl/status/statusor.h"

namespace wasabi::forwarding {

// Decodes the records that operators and endpoints write to the platform.
// Errors: kMalformedRecord.
class RecordProtocol {
 public:
  virtual ~RecordProtocol() = default;

  virtual absl::StatusOr<RouteTableView> DecodeConfiguration(
      const std::string& text) const = 0;
  virtual absl::StatusOr<Registration> DecodeRegistration(
      const std::string& id,
      const std::string& text) const = 0;
  // Returns the data centre that a record of the configuration topic with this
  // key evacuates, or nullopt if the key is a different one. Such a record is
  // in force whatever its value is.
  virtual std::optional<core::DataCentreId> EvacuatedDataCentre(
      const std::string& /*key*/) const {
    return std::nullopt;
  }
};

// A caller's decoded request for the host addresses to use.
struct DiscoveryQuery {
  core::DataCentreId data_centre;
};

// Decodes and encodes the calls with which callers and operators find hosts
// that accept requests.
class DiscoveryProtocol {
 public:
  virtual ~DiscoveryProtocol() = default;

  // Errors: kNoSuchResource if the request is a different call.
  virtual absl::StatusOr<DiscoveryQuery> DecodeQuery(
      const http::InboundRequest& inbound) const = 0;
  // Encodes an answer that lists `addresses`. Callers may cache it for
  // `lifetime`.
  virtual http::Answer EncodeAddresses(
      const std::vector<core::SocketAddress>& addresses,
      core::Duration lifetime) const = 0;
  virtual bool IsReadinessCheck(const http::InboundRequest& inbound) const = 0;
};

// Names of the platform's topics and keys that forwarding uses.
struct TopicNames {
  std::string configuration;
  std::string configuration_key;
  std::string registrations;
  // Topic of the fleet itself, with the gossip address of each host.
  std::string fleet;
  // Topic of the fleet itself, with the origins of streams.
  std::string origins;
  // Topic of the fleet itself, with the prompt parts that crash endpoints.
  std::string crashes;
};

// Behaviour that a deployment asks for.
struct DeploymentFeatures {
  // Order of waiting and paced return for times of overload, see
  // ForwardContext::load_control_enabled.
  bool load_control = false;

  auto operator<=>(const DeploymentFeatures&) const = default;
};

struct AdapterSet {
  std::unique_ptr<CallerProtocol> callers;
  std::unique_ptr<EndpointProtocol> endpoints;
  std::unique_ptr<RecordProtocol> records;
  std::unique_ptr<DiscoveryProtocol> discovery;
  std::unique_ptr<platform::KeyedTopicClient> topics;
  TopicNames names;
  // Interprets the terms of the platform's list of contracts. Terms that it
  // does not know are ignored. Empty if the platform has no such list.
  std::function<DeploymentFeatures(const std::vector<std::string>& terms)>
      decode_contracts;
};

}  // namespace wasabi::forwarding

#endif  // LIBFORWARDING_ADAPTER_SET_H_
