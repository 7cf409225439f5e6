// The HTTP interface of a router towards callers and operators.

#ifndef SERVICES_ROUTER_HTTP_FRONT_H_
#define SERVICES_ROUTER_HTTP_FRONT_H_

#include <functional>
#include <map>
#include <memory>
#include <string>

#include "LibCore/event_ring.h"
#include "LibCore/metrics.h"
#include "LibHttp/exchange.h"
#include "Services/Router/chat_session.h"
#include "Services/Router/filter.h"
#include "Services/Router/request_context.h"

namespace wasabi::router {

// What the front needs of the rest of the process.
struct FrontContext {
  SessionContext* session = nullptr;
  link::Link* link = nullptr;
  FilterChain* chat_filters = nullptr;
  FilterChain* service_filters = nullptr;
  std::function<intent::ConfigurationView()> configuration;
  std::function<bool()> is_stopping;
  std::function<bool()> is_ready;
  // The process's state as a JSON object.
  std::function<std::string()> status;
  // Runs a call to a plain service and answers the exchange.
  std::function<void(const std::shared_ptr<http::Exchange>&,
                     const RequestContext&)>
      run_service_call;
};

class HttpFront {
 public:
  explicit HttpFront(FrontContext context);

  // Answers one request, now or later.
  void Handle(const std::shared_ptr<http::Exchange>& exchange);

 private:
  using ExchangePointer = std::shared_ptr<http::Exchange>;
  using Handler = void (HttpFront::*)(const ExchangePointer&);
  struct Route;

  void ServeHealth(const ExchangePointer& exchange);
  void ServeMetrics(const ExchangePointer& exchange);
  void ServeEvents(const ExchangePointer& exchange);
  void ServeStatus(const ExchangePointer& exchange);
  void ServeHosts(const ExchangePointer& exchange);
  void ServeChat(const ExchangePointer& exchange);
  void ServeReattach(const ExchangePointer& exchange);
  void ServeService(const ExchangePointer& exchange);

  RequestContext NewContext(const http::Request& request) const;
  void Refuse(const ExchangePointer& exchange,
              const RequestContext& context,
              const absl::Status& status);
  bool AttachToRunning(const ExchangePointer& exchange,
                       const RequestContext& context);
  std::string PreferredRunner(const http::Request& request) const;
  // Streams that callers still read, which the answers know weakly.
  std::shared_ptr<CallerStream> NewStream(const ExchangePointer& exchange,
                                          bool is_streamed,
                                          const std::string& request_id);

  FrontContext context_;
  core::EventRing* events_;
  core::Metrics* metrics_;
  std::map<const http::Exchange*, std::shared_ptr<CallerStream>> streams_;
};

}  // namespace wasabi::router

#endif  // SERVICES_ROUTER_HTTP_FRONT_H_
