// Performs the actions that intent::OrderController returns: HTTP calls to
// endpoints, and reads and appends on the claims stream of the log.

#ifndef SERVICES_CONTROL_ORDER_DRIVER_H_
#define SERVICES_CONTROL_ORDER_DRIVER_H_

#include <functional>
#include <memory>
#include <string>

#include "LibCore/event_loop.h"
#include "LibCore/event_ring.h"
#include "LibCore/socket_address.h"
#include "LibHttp/client.h"
#include "LibIntent/order_controller.h"
#include "LibPlatform/log_client.h"

namespace wasabi::control {

// The dependencies of the driver; all of them must outlive it.
struct OrderContext {
  core::EventLoop* loop = nullptr;
  http::Client* http_client = nullptr;
  platform::LogClient* log = nullptr;
  core::EventRing* events = nullptr;
  // Returns the HTTP address of an endpoint, or an empty address if unknown.
  std::function<core::SocketAddress(const std::string& endpoint)> address_of;
};

class OrderDriver {
 public:
  // `holder` identifies this run of the daemon in claims.
  OrderDriver(OrderContext context,
              std::string holder,
              const intent::OrderOptions& options);
  ~OrderDriver();
  OrderDriver(const OrderDriver&) = delete;
  OrderDriver& operator=(const OrderDriver&) = delete;

  intent::OrderController& controller() { return controller_; }
  const intent::OrderController& controller() const { return controller_; }

 private:
  struct Performer;

  // Called by the timer; performs the actions that are due.
  void Tick();
  void Perform(const intent::ReadClaims& action);
  void Perform(const intent::AppendClaim& action);
  void Perform(const intent::ReadEndpointState& action);
  void Perform(const intent::SendOrder& action);
  void OnOrderAnswer(const intent::SendOrder& order,
                     const absl::Status& status);
  // Looks up the first claim that the log still has, after older claims were
  // removed by the log's retention.
  void FetchFirstKeptClaim();

  const OrderContext context_;
  intent::OrderController controller_;
  std::unique_ptr<core::Timer> timer_;
  // Set to false on destruction; callbacks that run later check it.
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

}  // namespace wasabi::control

#endif  // SERVICES_CONTROL_ORDER_DRIVER_H_
