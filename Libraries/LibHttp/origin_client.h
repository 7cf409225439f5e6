// An HTTP/1.1 client for requests that are passed on to endpoints. Unlike
// Client it never sends a request twice, checks that an answer belongs to its
// request, and tells whether anything of a failed request can have arrived.

#ifndef LIBHTTP_ORIGIN_CLIENT_H_
#define LIBHTTP_ORIGIN_CLIENT_H_

#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <string_view>

#include "LibCore/event_loop.h"
#include "LibCore/socket_address.h"
#include "LibHttp/message_parser.h"
#include "LibHttp/tcp_stream.h"

namespace wasabi::http {

struct OriginRequest {
  core::SocketAddress address;
  std::string method;
  std::string target;
  // Content-Length is added.
  Headers headers;
  std::string body;
  core::Duration connect_timeout = core::milliseconds(400);
  // A kept connection is used only if it was idle for less than this.
  core::Duration max_idle = core::seconds(3);
};

// How a call ended.
enum class OriginEnd : uint8_t {
  kComplete,
  // No byte of the request left this host.
  kNotSent,
  // The connection broke before the answer was complete.
  kCut,
  // The endpoint sent bytes that are not an answer.
  kMalformed,
};

struct OriginCallbacks {
  // Whether an answer with this head belongs to the request. Others are
  // skipped, since the request's own answer may follow them.
  std::function<bool(const MessageHead& head)> is_expected;
  std::function<void(const MessageHead& head)> on_head;
  std::function<void(std::string_view piece)> on_body;
  // The last callback.
  std::function<void(OriginEnd end)> on_end;
};

// A call in flight. Dropping the handle does not cancel the call.
class OriginCall {
 public:
  virtual ~OriginCall() = default;
  // Closes the connection. No callback follows.
  virtual void Cancel() = 0;
  // Stops and resumes reading, for a caller that takes bytes slowly.
  virtual void SetReading(bool is_reading) = 0;
  // Whether the request went out on a connection that was used before.
  virtual bool is_reused() const = 0;
  // Whether the connection has been made.
  virtual bool is_connected() const = 0;
};

class OriginConnection;

class OriginClient {
 public:
  explicit OriginClient(core::EventLoop* loop);
  ~OriginClient();
  OriginClient(const OriginClient&) = delete;
  OriginClient& operator=(const OriginClient&) = delete;

  // Sends `request` once. All callbacks run in later turns of the loop.
  std::shared_ptr<OriginCall> Send(const OriginRequest& request,
                                   OriginCallbacks callbacks);

  // Closes the idle connections to `address`.
  void Forget(const core::SocketAddress& address);
  // Closes connections that have been idle for too long.
  void Expire(core::TimePoint now);

  uint64_t connections_made() const { return connections_made_; }

 private:
  friend class OriginConnection;
  using IdleList = std::deque<std::shared_ptr<OriginConnection>>;

  std::shared_ptr<OriginConnection> TakeIdle(const OriginRequest& request);
  void KeepIdle(const std::shared_ptr<OriginConnection>& connection);
  void Drop(const OriginConnection* connection);

  core::EventLoop* const loop_;
  std::map<core::SocketAddress, IdleList> idle_;
  std::shared_ptr<OriginClient*> self_;
  uint64_t connections_made_ = 0;
};

}  // namespace wasabi::http

#endif  // LIBHTTP_ORIGIN_CLIENT_H_
