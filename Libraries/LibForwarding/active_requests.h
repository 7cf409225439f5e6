// The requests that a host has taken and not answered yet, so that a host that
// shuts down can end each of them.

#ifndef LIBFORWARDING_ACTIVE_REQUESTS_H_
#define LIBFORWARDING_ACTIVE_REQUESTS_H_

#include <cstddef>
#include <set>
#include <vector>

#include "LibCore/time.h"

namespace wasabi::forwarding {

// A request that can be ended at any time.
class ActiveRequest {
 public:
  virtual ~ActiveRequest() = default;
  // Ends the request because the host has been shutting down since
  // `stop_began_at`: refused if it has not been sent to an endpoint, failed or
  // cut off otherwise.
  virtual void Interrupt(core::TimePoint stop_began_at) = 0;
  // Refuses the request if it has not been sent to an endpoint and, since the
  // host shuts down, will not be.
  virtual void RefuseIfTooLate() = 0;
};

class ActiveRequests {
 public:
  // `request` must be removed before it is destroyed.
  void Add(ActiveRequest* request) { requests_.insert(request); }
  void Remove(ActiveRequest* request) { requests_.erase(request); }
  size_t size() const { return requests_.size(); }

  // Interrupts every request, also those that start meanwhile.
  void InterruptAll(core::TimePoint stop_began_at) {
    while (!requests_.empty()) {
      ActiveRequest* const request = *requests_.begin();
      requests_.erase(requests_.begin());
      request->Interrupt(stop_began_at);
    }
  }

  // Refuses the requests that wait for something but will not be sent.
  void RefuseTooLate() {
    const std::vector<ActiveRequest*> requests(requests_.begin(),
                                               requests_.end());
    for (ActiveRequest* const request : requests) {
      if (requests_.contains(request)) {
        request->RefuseIfTooLate();
      }
    }
  }

 private:
  std::set<ActiveRequest*> requests_;
};

}  // namespace wasabi::forwarding

#endif  // LIBFORWARDING_ACTIVE_REQUESTS_H_
