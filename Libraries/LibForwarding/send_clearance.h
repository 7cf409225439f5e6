// Obtains clearance to send one request to an endpoint: a slot, where one host
// of the fleet grants the slots of the pool; a place, if the endpoint is
// brittle; and a permit, if the endpoint limits its requests or is cold.
// Questions to other hosts take time, so a granted endpoint is checked again:
// it may have left, or its data centre may have been evacuated.

#ifndef LIBFORWARDING_SEND_CLEARANCE_H_
#define LIBFORWARDING_SEND_CLEARANCE_H_

#include <cstdint>
#include <functional>
#include <memory>
#include <set>

#include "LibForwarding/endpoint.h"
#include "LibForwarding/endpoint_chooser.h"
#include "LibForwarding/forward_context.h"
#include "LibForwarding/forward_request.h"
#include "LibForwarding/pool_slot_exchange.h"

namespace wasabi::forwarding {

enum class ClearanceOutcome : uint8_t {
  // The request is to be sent to the endpoint.
  kGranted,
  // Every slot of the pool is taken.
  kPoolFull,
  // No host knows of a slot, and no endpoint can accept the request now.
  kNoEndpoint,
  // The chosen endpoint has no place, or its limit permits no request now.
  // Another endpoint may be asked for.
  kDenied,
  // As kDenied, because the endpoint's data centre was evacuated after the
  // endpoint was chosen.
  kEvacuated,
};

struct Clearance {
  ClearanceOutcome outcome = ClearanceOutcome::kDenied;
  // The endpoint, with kGranted. Valid during the callback.
  const Endpoint* endpoint = nullptr;
  // Time until room is expected, with kPoolFull.
  core::Duration wait{};
};

class SendClearance : public std::enable_shared_from_this<SendClearance> {
 public:
  struct Callbacks {
    // Called when there is an endpoint or a slot to ask for. The request leaves
    // the queue of its pool then.
    std::function<void()> on_asking;
    std::function<void(const Clearance& clearance)> on_decided;
  };

  // The arguments must outlive this object. `answer_deadline` is when the
  // answer is due.
  SendClearance(ForwardContext* context,
                const ForwardRequest& request,
                EndpointChooser* chooser,
                core::TimePoint answer_deadline,
                Callbacks callbacks);

  // Asks for clearance at an endpoint that was not granted before. Returns
  // false, and does nothing, if no endpoint can accept the request now.
  // Otherwise calls `on_asking` and then, possibly before this returns,
  // `on_decided`, which may ask again.
  bool Ask();
  // Returns the slot and the place that were granted at `endpoint`, since the
  // request isn't sent.
  void Return(const Endpoint& endpoint);
  // Makes sure that no callback is called any more.
  void Cancel() { is_cancelled_ = true; }

  // Returns the endpoints that were granted.
  const std::set<core::RunnerId>& tried() const { return tried_; }
  // Returns how often an endpoint was granted, which is the number of sends.
  uint32_t sends() const { return sends_; }

 private:
  // Asks for a slot of the pool. Returns false if its slots are not granted.
  bool AskForPoolSlot();
  void OnPoolSlot(const PoolSlotResult& result);
  // Asks for what the endpoint of this host's own choice requires. Returns
  // false if every endpoint is full.
  bool AskByOwnChoice();
  void AskForPlace(const Endpoint& endpoint);
  void AskForPermit(const Endpoint& endpoint);
  void OnPermit(const Endpoint& endpoint, bool is_granted);
  // Counts a denied permit. After several, only endpoints that need no permit
  // are chosen.
  void CountDenial(const core::RunnerId& endpoint);
  // Gives up `endpoint` if its data centre was evacuated after it was chosen.
  // Returns false, and does nothing, otherwise.
  bool WithholdIfEvacuated(const Endpoint& endpoint);
  void Grant(const Endpoint& endpoint);
  void Deny();
  core::TimePoint Now() const { return context_->loop->Now(); }

  ForwardContext* const context_;
  const ForwardRequest& request_;
  EndpointChooser* const chooser_;
  const core::TimePoint answer_deadline_;
  const Callbacks callbacks_;
  std::set<core::RunnerId> tried_;
  uint32_t sends_ = 0;
  // Permits denied since the latest grant, and those of them for which another
  // host was asked.
  uint32_t denials_ = 0;
  uint32_t denied_questions_ = 0;
  // Another host is being asked for a permit.
  bool is_asking_ = false;
  bool is_cancelled_ = false;
};

}  // namespace wasabi::forwarding

#endif  // LIBFORWARDING_SEND_CLEARANCE_H_
