// Carries out the graceful shutdown of a host: ends each of its steps when the
// schedule says so, and stops the event loop once nothing is left.

#ifndef SERVICES_FORWARDER_STOP_CONTROLLER_H_
#define SERVICES_FORWARDER_STOP_CONTROLLER_H_

#include <functional>
#include <string>
#include <utility>

#include "LibCore/event_loop.h"
#include "LibForwarding/forward_context.h"
#include "LibForwarding/tunnel_server.h"
#include "LibHttp/request_server.h"
#include "LibRouting/stop_schedule.h"

namespace wasabi::forwarder {

class StopController {
 public:
  // What a host that shuts down ends. Not owned.
  struct Parts {
    core::EventLoop* loop = nullptr;
    forwarding::ForwardContext* context = nullptr;
    // The server for callers.
    http::RequestServer* callers = nullptr;
    forwarding::TunnelServer* tunnels = nullptr;
    // Returns whether configuration and registrations have been read, for log
    // entries.
    std::function<bool()> has_loaded;
    // Refuses the requests that are held until the host is ready.
    std::function<void()> refuse_held;
    // Called after the last step, before the loop is stopped.
    std::function<void()> on_stopped;
  };

  explicit StopController(Parts parts) : parts_(std::move(parts)) {}

  // Begins the shutdown. Does nothing if it has begun already.
  // `signalled_after` is a time before which the process did not have the stop
  // signal.
  void Begin(const routing::StopPolicy& policy,
             core::TimePoint signalled_after);
  bool has_begun() const { return parts_.context->stop.has_value(); }
  // Does the steps whose time has come. To be called periodically.
  void Tick();

 private:
  const routing::StopSchedule& schedule() const {
    return *parts_.context->stop;
  }
  // Ends the requests that are left near the end of the shutdown.
  void InterruptRequests();
  // Returns whether nothing is left that callers or other hosts wait for.
  bool IsDrained() const;
  // Returns what callers have sent and not been answered, for log entries.
  std::string DescribeOpenWork() const;

  const Parts parts_;
  bool has_stopped_listening_ = false;
  bool has_interrupted_ = false;
};

}  // namespace wasabi::forwarder

#endif  // SERVICES_FORWARDER_STOP_CONTROLLER_H_
