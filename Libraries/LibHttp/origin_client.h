// An HTTP/1.1 client that forwards requests to endpoints. Unlike Client it
// never retries a request by itself, passes on a response only as the answer to
// one send (see send_ledger.h), and reports whether a failed request may have
// reached the endpoint.

#ifndef LIBHTTP_ORIGIN_CLIENT_H_
#define LIBHTTP_ORIGIN_CLIENT_H_

#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <utility>

#include "LibCore/event_loop.h"
#include "LibCore/socket_address.h"
#include "LibHttp/connection_use.h"
#include "LibHttp/message_parser.h"
#include "LibHttp/send_ledger.h"
#include "LibHttp/tcp_stream.h"

namespace wasabi::http {

// The way to an endpoint through another host (see tunnel.h).
struct TunnelRoute {
  core::SocketAddress carrier;
  uint64_t endpoint_hash = 0;
};

// A request to forward to an endpoint.
struct OriginRequest {
  core::SocketAddress address;
  // If set, the request goes through a new tunnel instead of a connection to
  // `address`.
  std::optional<TunnelRoute> tunnel = std::nullopt;
  // The id by which responses name the request; empty if they name none.
  std::string id;
  std::string method;
  std::string target;
  // The client adds Content-Length where it is needed.
  Headers headers;
  std::string body;
  // Time limit for a new connection, or for a new tunnel.
  core::Duration connect_timeout = core::milliseconds(400);
  // Idle connections are reused only if they were idle for less than this.
  core::Duration max_idle = core::seconds(3);
};

// The outcome of a call.
enum class OriginOutcome : uint8_t {
  // The response ended as its framing says. With BodyFraming::kConnectionEnd
  // that only means that the endpoint closed the connection in an orderly way
  // (or a tunnel's carrier, if it knows no frames) after it had received the
  // whole request; whether the body is whole can only be told by its content.
  kComplete,
  // The connection was not established, so no byte of the request was sent.
  kNotSent,
  // No byte of the request was sent either: the tunnel's carrier cannot be
  // reached or cannot carry requests, or it must not send this endpoint any.
  kCarrierUnavailable,
  kEndpointUnavailable,
  // `may_send` returned false, so no byte of the request was sent.
  kWithheld,
  // The connection closed before the response was complete. The endpoint may
  // have processed the request.
  kCut,
  // The endpoint sent bytes that are not a valid response, a response that
  // names no request, or too many responses that belong to other requests.
  kMalformed,
  // The response, or the responses before it that are skipped, exceed their
  // size limits.
  kOversized,
};

// The callbacks of OriginClient::Send. They run on the event loop; none runs
// after OriginCall::Cancel.
struct OriginCallbacks {
  // Asked right before the first byte of the request is passed to the kernel,
  // in Send itself if a connection is open. Returns whether it may be sent.
  std::function<bool(const ConnectionUse& use)> may_send;
  // Returns what a response says of its request. Needed if the request has an
  // id.
  std::function<ResponseClaim(const MessageHead& head)> claim_of;
  // A response that doesn't answer the request was read.
  std::function<void(const MessageHead& head)> on_skipped;
  std::function<void(const AnswerHead& head)> on_head;
  std::function<void(std::string_view piece)> on_body;
  // The call has ended; this is the last callback.
  std::function<void(OriginOutcome end)> on_end;
};

// A call in flight. Dropping the handle does not cancel the call.
class OriginCall {
 public:
  virtual ~OriginCall() = default;
  // Aborts the call by closing its connection. No callback follows.
  virtual void Cancel() = 0;
  // Pauses or resumes reading, to apply backpressure for a slow client.
  virtual void SetReading(bool is_reading) = 0;
  // True if the connection carried a call before.
  virtual bool is_reused() const = 0;
  // True once the connection was established.
  virtual bool is_connected() const = 0;
  virtual ConnectionUse use() const { return {}; }
};

class OriginConnection;

// Learns how direct connections to endpoints begin and end.
struct OriginObserver {
  std::function<void(const core::SocketAddress& address)> on_connected;
  // The endpoint or the network ended the last connection that was not
  // established just now. The endpoint may have started anew.
  std::function<void(const core::SocketAddress& address)> on_lost;
  // A new connection was refused or timed out. The endpoint may have crashed.
  std::function<void(const core::SocketAddress& address)> on_refused;
  // `bytes` that answer no request arrived on an idle connection, which was
  // closed. `use` names its latest call.
  std::function<void(const core::SocketAddress& address,
                     const ConnectionUse& use,
                     size_t bytes)>
      on_unsolicited;
};

// Pools idle connections per endpoint. `loop` must outlive the client.
class OriginClient {
 public:
  // With `memory`, the buffers of connections are counted there, and limited
  // while it is scarce.
  explicit OriginClient(core::EventLoop* loop,
                        std::shared_ptr<BufferMemory> memory = nullptr);
  ~OriginClient();
  OriginClient(const OriginClient&) = delete;
  OriginClient& operator=(const OriginClient&) = delete;

  // Sends `request` exactly once, without retries. All callbacks but `may_send`
  // run in later turns of the loop; those of the observer may run in Send.
  std::shared_ptr<OriginCall> Send(const OriginRequest& request,
                                   OriginCallbacks callbacks);

  // Sets what learns of connections. Called before the first Send.
  void SetObserver(OriginObserver observer) { observer_ = std::move(observer); }

  // Closes the idle connections to `address`.
  void Forget(const core::SocketAddress& address);
  // Closes connections whose idle timeout has expired. The owner calls this
  // periodically.
  void Expire(core::TimePoint now);

  // Number of connection attempts since the start.
  uint64_t connections_made() const { return connections_made_; }
  // Number of idle connections that were closed because the endpoint sent bytes
  // that answer no request.
  uint64_t unsolicited_closes() const { return unsolicited_closes_; }

 private:
  friend class OriginConnection;
  using IdleList = std::deque<std::shared_ptr<OriginConnection>>;

  // A connection, and the right to send the request on it.
  struct ReadyConnection {
    std::shared_ptr<OriginConnection> connection;
    SendPermit permit;
  };

  // Removes an idle connection that may carry `request` from the pool; nullopt
  // if there is none.
  std::optional<ReadyConnection> TakeIdle(const OriginRequest& request);
  // Returns the most recently used one that may carry `request`, which stays in
  // the pool; nullptr if there is none.
  std::shared_ptr<OriginConnection> FindIdle(
      const OriginRequest& request) const;
  ReadyConnection NewConnection(const OriginRequest& request);
  // Adds `connection` to the pool.
  void KeepIdle(const std::shared_ptr<OriginConnection>& connection);
  // Removes `connection` from the pool.
  void Drop(const OriginConnection* connection);

  // Handle that a direct connection was established, was closed by either side,
  // broke without the doing of this host, or could not be established.
  void NoteConnected(const core::SocketAddress& address, core::TimePoint at);
  void NoteClosed(const core::SocketAddress& address, core::TimePoint at);
  void NoteBroken(const core::SocketAddress& address);
  void NoteRefused(const core::SocketAddress& address);
  // Handles that an idle connection has brought `bytes`.
  void NoteUnsolicited(const core::SocketAddress& address,
                       const ConnectionUse& use,
                       size_t bytes);

  core::EventLoop* const loop_;
  const std::shared_ptr<BufferMemory> memory_;
  OriginObserver observer_;
  std::map<core::SocketAddress, IdleList> idle_;
  // When each open direct connection was established.
  std::map<core::SocketAddress, std::multiset<core::TimePoint>> open_;
  // Connections hold weak references to it, to detect that the client was
  // destroyed.
  std::shared_ptr<OriginClient*> self_;
  uint64_t connections_made_ = 0;
  uint64_t unsolicited_closes_ = 0;
};

}  // namespace wasabi::http

#endif  // LIBHTTP_ORIGIN_CLIENT_H_
