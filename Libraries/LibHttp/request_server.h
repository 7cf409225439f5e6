// An HTTP/1.1 server for requests that are forwarded to endpoints. Unlike
// Server it keeps requests in their original form, detects while a response is
// pending that the client disconnects, and controls when each connection is
// closed.

#ifndef LIBHTTP_REQUEST_SERVER_H_
#define LIBHTTP_REQUEST_SERVER_H_

#include <functional>
#include <map>
#include <memory>
#include <utility>
#include <vector>

#include "LibCore/event_loop.h"
#include "LibCore/socket_address.h"
#include "LibHttp/request_connection.h"
#include "absl/status/statusor.h"

namespace wasabi::http {

// `loop` must outlive the server, and callbacks run on it.
class RequestServer {
 public:
  // Called once for each complete request.
  using Handler = std::function<void(const std::shared_ptr<Transaction>&)>;
  // Called with the HTTP status of each request that was rejected before it
  // reached the handler, and with what has been read of it. Its headers are
  // empty if they were not read to the end.
  using RejectObserver =
      std::function<void(int status, const InboundRequest& request)>;

  // Starts to listen at `address`. Returns ResultCode::kCannotListen if that
  // fails, for example because the address is in use.
  static absl::StatusOr<std::unique_ptr<RequestServer>> Create(
      core::EventLoop* loop,
      const core::SocketAddress& address,
      Handler handler);
  ~RequestServer();
  RequestServer(const RequestServer&) = delete;
  RequestServer& operator=(const RequestServer&) = delete;

  // Sets the limits and the observer for connections accepted from now on.
  void SetLimits(const CallerLimits& limits) { limits_ = limits; }
  // Counts the buffers of connections accepted from now on in `memory`, and
  // refuses incomplete requests with 503 while it is exhausted.
  void SetMemory(std::shared_ptr<BufferMemory> memory) {
    memory_ = std::move(memory);
  }
  void SetRejectObserver(RejectObserver observer) {
    reject_observer_ = std::move(observer);
  }

  // Responses that start from now on carry "Connection: close" and close their
  // connection, unless another request is being received on it already.
  void CloseAfterResponses();
  // Accepts the connections that clients have opened so far, closes the
  // listening socket, and from now on closes connections when they are idle.
  void StopListening();
  // Answers requests of which only a part has been received with 503.
  void RefuseUnread();

  size_t connection_count() const { return connections_.size(); }
  // Number of requests whose response is pending.
  size_t open_transactions() const;
  // Bytes in the buffers of all connections.
  size_t buffered_bytes() const;

 private:
  RequestServer(core::EventLoop* loop, Handler handler);
  absl::Status Listen(const core::SocketAddress& address);
  void AcceptAvailable();
  void AddConnection(int descriptor);
  void CheckTimeouts();
  // Returns the connections; some of them may close while the result is used.
  std::vector<std::shared_ptr<RequestConnection>> Connections() const;

  core::EventLoop* const loop_;
  const Handler handler_;
  RejectObserver reject_observer_;
  CallerLimits limits_;
  std::shared_ptr<BufferMemory> memory_;
  int descriptor_ = -1;
  bool closes_after_responses_ = false;
  std::unique_ptr<core::IoWatcher> watcher_;
  std::unique_ptr<core::Timer> timeout_timer_;
  std::map<RequestConnection*, std::shared_ptr<RequestConnection>> connections_;
};

}  // namespace wasabi::http

#endif  // LIBHTTP_REQUEST_SERVER_H_
