// Obtains clearance to send one request to an endpoint: a slot, where one host
// of the fleet grants the slots of the pool; a place, if the endpoint is
// brittle; and a permit, if the endpoint limits its requests or is cold.
// Questions to other hosts take time, so a granted endpoint is checked again:
// it may have left, or its data centre may have been evacuated.
//
// While other hosts need not be asked, a denial leads to the next choice in a
// loop. A request asks for one endpoint twice at most before it is sent, so
// that denials end whatever the exchanges answer.

#ifndef LIBFORWARDING_SEND_CLEARANCE_H_
#define LIBFORWARDING_SEND_CLEARANCE_H_

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>

#include "LibForwarding/endpoint.h"
#include "LibForwarding/endpoint_chooser.h"
#include "LibForwarding/forward_context.h"
#include "LibForwarding/forward_request.h"
#include "LibForwarding/grant_reply.h"
#include "LibForwarding/pool_slot_exchange.h"

namespace wasabi::forwarding {

enum class ClearanceOutcome : uint8_t {
  // The request is to be sent to the endpoint.
  kGranted,
  // Every slot of the pool is taken.
  kPoolFull,
  // No endpoint can accept the request now.
  kNoEndpoint,
  // The chosen endpoints have no place, or their limits permit no request now.
  kDenied,
  // As kDenied, because the endpoint's data centre was evacuated after the
  // endpoint was chosen.
  kEvacuated,
  // Another host was asked.
  kPending,
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
  using Callback = std::function<void(const Clearance& clearance)>;

  // The arguments must outlive this object. `answer_deadline` is when the
  // answer is due.
  SendClearance(ForwardContext* context,
                const ForwardRequest& request,
                EndpointChooser* chooser,
                core::TimePoint answer_deadline,
                Callback on_decided);

  // Asks for clearance at an endpoint that was not granted before. Returns what
  // was decided. With kPending, `on_decided` is called once, from the event
  // loop; another endpoint may be asked for after kDenied and kEvacuated then.
  [[nodiscard]] Clearance Ask();
  // Returns the slot and the place that were granted at `endpoint`, since the
  // request isn't sent.
  void Return(const Endpoint& endpoint);
  // Makes sure that `on_decided` is not called any more.
  void Cancel() { is_cancelled_ = true; }

  // Returns the endpoints that were granted.
  const std::set<core::RunnerId>& tried() const { return tried_; }
  // Returns how often an endpoint was granted, which is the number of sends.
  uint32_t sends() const { return sends_; }

 private:
  // Asks for a slot of the pool. Returns nullopt if its slots are not granted.
  std::optional<Clearance> AskForPoolSlot();
  Clearance OnPoolSlot(const PoolSlotResult& result);
  // Asks for what the endpoints of this host's own choice require, in turn.
  Clearance AskByOwnChoice();
  GrantReply<bool> AskForPlace(const Endpoint& endpoint);
  GrantReply<bool> AskForPermit(const Endpoint& endpoint);
  // Handle the answers of other hosts.
  void OnPlace(const Endpoint& endpoint, bool is_granted);
  void OnPermit(const Endpoint& endpoint, bool is_granted);
  // Counts a denied place or permit, for which another host was asked or not.
  // After several, only endpoints that need neither are chosen.
  void CountDenial(const core::RunnerId& endpoint, bool was_asked);
  // Gives up `endpoint` if its data centre was evacuated after it was chosen.
  // Returns false, and does nothing, otherwise.
  bool WithholdIfEvacuated(const Endpoint& endpoint);
  Clearance Grant(const Endpoint& endpoint);
  // Calls `on_decided`, unless this is cancelled.
  void Decide(const Clearance& clearance);
  core::TimePoint Now() const { return context_->loop->Now(); }

  ForwardContext* const context_;
  const ForwardRequest& request_;
  EndpointChooser* const chooser_;
  const core::TimePoint answer_deadline_;
  const Callback on_decided_;
  std::set<core::RunnerId> tried_;
  // Those, and the endpoints that were denied too often since the latest grant.
  std::set<core::RunnerId> excluded_;
  std::map<core::RunnerId, uint32_t> denials_at_;
  uint32_t sends_ = 0;
  // Places and permits denied since the latest grant, and those of them for
  // which another host was asked.
  uint32_t denials_ = 0;
  uint32_t denied_questions_ = 0;
  bool is_cancelled_ = false;
};

}  // namespace wasabi::forwarding

#endif  // LIBFORWARDING_SEND_CLEARANCE_H_
