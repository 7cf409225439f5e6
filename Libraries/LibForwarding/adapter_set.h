// Everything that ties forwarding to one platform. An adapter library makes it;
// the daemon knows no other name of the platform.

#ifndef LIBFORWARDING_ADAPTER_SET_H_
#define LIBFORWARDING_ADAPTER_SET_H_

#include <memory>
#include <string>
#include <vector>

#include "LibForwarding/protocols.h"
#include "LibForwarding/registration.h"
#include "LibForwarding/route_table.h"
#include "LibPlatform/keyed_topic_client.h"
#include "absl/status/statusor.h"

namespace wasabi::forwarding {

// Decodes what operators and endpoints write. Errors: kMalformedRecord.
class RecordProtocol {
 public:
  virtual ~RecordProtocol() = default;

  virtual absl::StatusOr<RouteTableView> DecodeConfiguration(
      const std::string& text) const = 0;
  virtual absl::StatusOr<Registration> DecodeRegistration(
      const std::string& id,
      const std::string& text) const = 0;
};

// A caller's question for the addresses to use.
struct DiscoveryQuestion {
  core::DataCentreId data_centre;
};

// The calls by which callers and operators find hosts that take requests.
class DiscoveryProtocol {
 public:
  virtual ~DiscoveryProtocol() = default;

  // Error: kNoSuchResource for another call.
  virtual absl::StatusOr<DiscoveryQuestion> DecodeQuestion(
      const http::InboundRequest& inbound) const = 0;
  // `lifetime` is how long callers may keep the answer.
  virtual http::Answer EncodeAddresses(
      const std::vector<core::SocketAddress>& addresses,
      core::Duration lifetime) const = 0;
  virtual bool IsReadinessCheck(const http::InboundRequest& inbound) const = 0;
};

// Where the platform keeps what.
struct TopicNames {
  std::string configuration;
  std::string configuration_key;
  std::string registrations;
  // The fleet's own topic: the gossip address of each host.
  std::string fleet;
};

struct AdapterSet {
  std::unique_ptr<CallerProtocol> callers;
  std::unique_ptr<EndpointProtocol> endpoints;
  std::unique_ptr<RecordProtocol> records;
  std::unique_ptr<DiscoveryProtocol> discovery;
  std::unique_ptr<platform::KeyedTopicClient> topics;
  TopicNames names;
};

}  // namespace wasabi::forwarding

#endif  // LIBFORWARDING_ADAPTER_SET_H_
