// An HTTP/1.1 server for requests that are passed on. Unlike Server it hands
// over requests exactly as they came, watches the caller while the request is
// being answered, and tells when to close each connection.

#ifndef LIBHTTP_REQUEST_SERVER_H_
#define LIBHTTP_REQUEST_SERVER_H_

#include <functional>
#include <map>
#include <memory>

#include "LibCore/event_loop.h"
#include "LibCore/socket_address.h"
#include "LibHttp/request_connection.h"
#include "absl/status/statusor.h"

namespace wasabi::http {

class RequestServer {
 public:
  using Handler = std::function<void(const std::shared_ptr<Transaction>&)>;
  using RejectObserver = std::function<void(int status)>;

  // Starts to listen; ResultCode::kCannotListen when the address is taken.
  static absl::StatusOr<std::unique_ptr<RequestServer>> Create(
      core::EventLoop* loop,
      const core::SocketAddress& address,
      Handler handler);
  ~RequestServer();
  RequestServer(const RequestServer&) = delete;
  RequestServer& operator=(const RequestServer&) = delete;

  // For connections that are made from now on.
  void SetLimits(const CallerLimits& limits) { limits_ = limits; }
  void SetRejectObserver(RejectObserver observer) {
    reject_observer_ = std::move(observer);
  }

  // From now on every answer announces the end of its connection.
  void CloseAfterAnswers();
  // Stops to listen and closes the connections that are idle.
  void StopListening();

  size_t connection_count() const { return connections_.size(); }
  // Requests that are being answered.
  size_t open_transactions() const;

 private:
  RequestServer(core::EventLoop* loop, Handler handler);
  absl::Status Listen(const core::SocketAddress& address);
  void AcceptAvailable();
  void AddConnection(int descriptor);
  void CheckTimeouts();

  core::EventLoop* const loop_;
  const Handler handler_;
  RejectObserver reject_observer_;
  CallerLimits limits_;
  int descriptor_ = -1;
  bool closes_after_answers_ = false;
  std::unique_ptr<core::IoWatcher> watcher_;
  std::unique_ptr<core::Timer> timeout_timer_;
  std::map<RequestConnection*, std::shared_ptr<RequestConnection>> connections_;
};

}  // namespace wasabi::http

#endif  // LIBHTTP_REQUEST_SERVER_H_
