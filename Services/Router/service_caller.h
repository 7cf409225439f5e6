// Calls an endpoint of a plain service.

#ifndef SERVICES_ROUTER_SERVICE_CALLER_H_
#define SERVICES_ROUTER_SERVICE_CALLER_H_

#include <functional>
#include <map>
#include <memory>
#include <string>

#include "LibCore/event_loop.h"
#include "LibCore/event_ring.h"
#include "LibHttp/client.h"
#include "Services/Router/endpoint_directory.h"

namespace wasabi::router {

// One call as the service gets it.
struct ServiceCall {
  core::PoolId pool;
  std::string path;
  std::string request_id;
  std::string idempotency_key;
  std::string trace_parent;
  std::string body;
  uint32_t attempt = 1;
  core::TimePoint deadline;
};

class ServiceCaller {
 public:
  // A whole HTTP answer, or: kNoEndpoint and kPeerUnreachable when the call
  // certainly did not run, any other error when it may have run.
  using Callback = std::function<void(absl::StatusOr<http::ClientResponse>)>;

  ServiceCaller(core::EventLoop* loop,
                http::Client* client,
                core::EventRing* events,
                EndpointDirectory* directory);

  // Makes one attempt on the live endpoint with the fewest calls from here.
  void Call(const ServiceCall& call, Callback callback);

 private:
  const platform::ListedHost* PickEndpoint(const core::PoolId& pool) const;

  core::EventLoop* loop_;
  http::Client* client_;
  core::EventRing* events_;
  EndpointDirectory* directory_;
  std::map<std::string, int> in_flight_;
};

}  // namespace wasabi::router

#endif  // SERVICES_ROUTER_SERVICE_CALLER_H_
