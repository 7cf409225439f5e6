// Carries out what the order controller decides: HTTP calls to endpoints, and
// reads and appends of the claims stream.

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

// What the driver works with; all of it outlives the driver.
struct OrderContext {
  core::EventLoop* loop = nullptr;
  http::Client* http_client = nullptr;
  platform::LogClient* log = nullptr;
  core::EventRing* events = nullptr;
  std::function<core::SocketAddress(const std::string& endpoint)> address_of;
};

class OrderDriver {
 public:
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

  void Tick();
  void Perform(const intent::ReadClaims& action);
  void Perform(const intent::AppendClaim& action);
  void Perform(const intent::ReadEndpointState& action);
  void Perform(const intent::SendOrder& action);
  void OnOrderAnswer(const intent::SendOrder& order,
                     const absl::Status& status);
  void FindFirstClaim();

  const OrderContext context_;
  intent::OrderController controller_;
  std::unique_ptr<core::Timer> timer_;
  // Cleared when this object is gone, since answers may come later.
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

}  // namespace wasabi::control

#endif  // SERVICES_CONTROL_ORDER_DRIVER_H_
