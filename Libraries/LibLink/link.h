// Calls between the daemons of the fleet: one request message, then a stream
// of answer messages and a final status. The interface that other libraries
// use; LinkNode carries it over nghttp2 streams.

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

// What a call asks for; the receiving daemon has one handler per kind.
enum class CallKind : uint8_t {
  kSubmitWork = 1,
  kRecordPointer = 2,
  kTransferOwnership = 3,
  kLedgerCall = 4,
  kReattach = 5,
  kFetchConfiguration = 6,
  kShareQuarantine = 7,
};

// The range of the enumeration; a number outside of it is refused.
constexpr CallKind kFirstCallKind = CallKind::kSubmitWork;
constexpr CallKind kLastCallKind = CallKind::kShareQuarantine;

// What the caller of Link::Call hears, on the loop and never inside Call.
struct CallHandlers {
  std::function<void(std::string_view message)> on_message;
  // The end: the status that the other side finished with, or kPeerUnreachable
  // (the request was certainly not delivered) or kPeerSilent (it may have
  // been).
  std::function<void(const absl::Status& status)> on_done;
};

// A call on its way. Dropping the handle does not cancel the call.
class OutboundCall {
 public:
  virtual ~OutboundCall() = default;
  // Tells the other side that the answer is not wanted. No handler follows.
  virtual void Cancel() = 0;
};

// A call received from another daemon.
class InboundCall {
 public:
  virtual ~InboundCall() = default;
  virtual CallKind kind() const = 0;
  virtual const std::string& request() const = 0;
  // The IP number and port that the call came from.
  virtual core::SocketAddress peer() const = 0;
  // Sends one answer message.
  virtual void Send(std::string_view message) = 0;
  // Ends the answer; the status travels with its code and retry time.
  virtual void Finish(const absl::Status& status) = 0;
  // Calls `callback` once if the caller cancels or its connection is lost.
  virtual void OnCancelled(std::function<void()> callback) = 0;
};

class Link {
 public:
  virtual ~Link() = default;
  // Starts a call to the daemon that listens at `peer`.
  virtual std::shared_ptr<OutboundCall> Call(const core::SocketAddress& peer,
                                             CallKind kind,
                                             std::string request,
                                             CallHandlers handlers) = 0;
};

}  // namespace wasabi::link

#endif  // LIBLINK_LINK_H_
