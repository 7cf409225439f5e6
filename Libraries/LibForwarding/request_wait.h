// Holds one request in the queue of its pool while every endpoint is full, and
// bounds the time for which it waits. With load control, a request that cannot
// be expected to start within its latency objective is refused early.

#ifndef LIBFORWARDING_REQUEST_WAIT_H_
#define LIBFORWARDING_REQUEST_WAIT_H_

#include <functional>
#include <memory>
#include <optional>

#include "LibCore/event_loop.h"
#include "LibForwarding/endpoint_chooser.h"
#include "LibForwarding/forward_context.h"
#include "LibForwarding/forward_request.h"
#include "LibForwarding/wait_queue.h"
#include "LibRouting/pool_admission.h"
#include "LibRouting/work_item.h"

namespace wasabi::forwarding {

class RequestWait : public std::enable_shared_from_this<RequestWait> {
 public:
  struct Callbacks {
    // Starts or ends the request. Returns false if it has to wait on.
    WaitQueue::TryStart try_start;
    // Called if the request can't be expected to start in time. `retry_after`
    // is the time after which the caller may retry.
    std::function<void(core::Duration retry_after)> on_hopeless;
    // Called if no endpoint became free in the time for which a request waits.
    std::function<void()> on_timeout;
  };

  // The arguments must outlive this object. `answer_deadline` is when the
  // answer is due.
  RequestWait(ForwardContext* context,
              const ForwardRequest& request,
              const EndpointChooser* chooser,
              core::TimePoint answer_deadline,
              Callbacks callbacks);

  // Counts the request towards the order of waiting, and lets those start that
  // wait already. Does nothing without load control.
  void RecordArrival();
  // Queues the request, or calls `on_hopeless`.
  void Join();
  // Takes the request out of the queue if it is there.
  void Leave();
  // Returns what the order of waiting depends on.
  routing::WorkItem Item() const;

 private:
  // Calls `on_hopeless` if the request can't be expected to start in time.
  // Returns whether it has. Only while load control is on.
  bool EndIfHopeless();
  void RecordEarlyRefusal(const routing::WorkItem& item,
                          const routing::PoolOutlook& outlook,
                          core::Duration expected,
                          core::Duration limit,
                          core::Duration retry_after);
  // Sets the timer for the time for which the request may wait, of the time
  // that is left until the answer is due.
  void LimitWait(core::Duration left);
  // Decides once more after the time for which a request may be held before it
  // is refused.
  void Review();
  void StartTimer(core::Duration delay,
                  std::function<void(RequestWait*)> handle);
  core::TimePoint Now() const { return context_->loop->Now(); }

  ForwardContext* const context_;
  const ForwardRequest& request_;
  const EndpointChooser* const chooser_;
  const core::TimePoint answer_deadline_;
  const Callbacks callbacks_;
  // The weight of the organisation in the order of waiting.
  double organisation_weight_ = 1;
  std::optional<WaitTicket> ticket_;
  std::unique_ptr<core::Timer> timer_;
};

}  // namespace wasabi::forwarding

#endif  // LIBFORWARDING_REQUEST_WAIT_H_
