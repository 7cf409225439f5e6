// The interface for remote procedure calls between the daemons of the fleet. A
// call consists of one request message, a stream of response messages and a
// final status. LinkNode implements it over HTTP/2.

#ifndef LIBLINK_LINK_H_
#define LIBLINK_LINK_H_

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <string_view>

#include "LibCore/socket_address.h"
#include "absl/status/status.h"

namespace wasabi::link {

// The operation that a call requests. The numbers are part of the protocol.
enum class CallKind : uint8_t {
  kSubmitWork = 1,
  kRecordPointer = 2,
  kTransferOwnership = 3,
  kLedgerCall = 4,
  kReattach = 5,
  kFetchConfiguration = 6,
  kShareQuarantine = 7,
};

// The valid range of CallKind. Calls with a number outside of it are rejected.
constexpr CallKind kFirstCallKind = CallKind::kSubmitWork;
constexpr CallKind kLastCallKind = CallKind::kShareQuarantine;

// The callbacks of Link::Call. They run on the event loop, never inside Call,
// and none runs after OutboundCall::Cancel. Both must be set.
struct CallHandlers {
  // A response message was received. `message` is valid only during the call.
  std::function<void(std::string_view message)> on_message;
  // The call has ended; this is the last callback. `status` is the one that the
  // peer's handler finished with, kPeerUnreachable if the request was certainly
  // not delivered, or kPeerSilent if it may have been delivered.
  std::function<void(const absl::Status& status)> on_done;
};

// A call in flight. Dropping the handle does not cancel the call.
class OutboundCall {
 public:
  virtual ~OutboundCall() = default;
  // Cancels the call and notifies the peer. No callback follows.
  virtual void Cancel() = 0;
};

// A call received from another daemon. It stays valid after the connection is
// closed; Send and Finish then have no effect.
class InboundCall {
 public:
  virtual ~InboundCall() = default;
  virtual CallKind kind() const = 0;
  virtual const std::string& request() const = 0;
  // The IP address and port that the call was received from.
  virtual core::SocketAddress peer() const = 0;
  // Sends one response message.
  virtual void Send(std::string_view message) = 0;
  // Ends the response with `status`. Its result code, message and retry delay
  // are transferred; a long message is truncated.
  virtual void Finish(const absl::Status& status) = 0;
  // Calls `callback` once if the caller cancels the call or its connection is
  // lost before Finish.
  virtual void OnCancelled(std::function<void()> callback) = 0;
};

// Starts calls to other daemons.
class Link {
 public:
  virtual ~Link() = default;
  // Starts a call to the daemon that listens at `peer`. `request` is the
  // encoded request message.
  virtual std::shared_ptr<OutboundCall> Call(const core::SocketAddress& peer,
                                             CallKind kind,
                                             std::string request,
                                             CallHandlers handlers) = 0;
};

}  // namespace wasabi::link

#endif  // LIBLINK_LINK_H_
