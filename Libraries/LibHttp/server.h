// An HTTP server on the event loop, over libmicrohttpd.

#ifndef LIBHTTP_SERVER_H_
#define LIBHTTP_SERVER_H_

#include <functional>
#include <memory>
#include <set>

#include "LibCore/event_loop.h"
#include "LibCore/socket_address.h"
#include "LibHttp/exchange.h"
#include "absl/status/statusor.h"

struct MHD_Daemon;
struct MHD_Connection;

namespace wasabi::http {

struct ServerOptions {
  core::SocketAddress address;
  // Requests with a larger body are answered 413.
  size_t max_body_bytes = 4U << 20U;
  // So are requests whose headers are larger together. libmicrohttpd answers
  // 431 by itself where they don't fit into the connection's memory.
  size_t max_header_bytes = 8U << 10U;
  // Memory for one connection's headers, in bytes.
  size_t connection_memory_bytes = 32U << 10U;
  // Idle connections are closed after this many seconds.
  unsigned idle_timeout_seconds = 120;
};

class Server {
 public:
  using Handler = std::function<void(const std::shared_ptr<Exchange>&)>;
  // Called for each request refused before it reached the handler, with the
  // HTTP status it was given.
  using RejectObserver = std::function<void(int status)>;

  // Starts to listen; ResultCode::kCannotListen when the address is taken.
  // `handler` is called once for each complete request.
  static absl::StatusOr<std::unique_ptr<Server>>
  Create(core::EventLoop* loop, const ServerOptions& options, Handler handler);
  // Breaks the connections that are still open.
  ~Server();

  // Closes the listening socket; requests in flight go on.
  void StopListening();
  // Requests that were received and not yet fully answered.
  size_t open_exchanges() const { return open_exchanges_; }
  void set_reject_observer(RejectObserver observer) {
    reject_observer_ = std::move(observer);
  }

 private:
  struct PendingRequest;
  struct Callbacks;

  Server(core::EventLoop* loop, const ServerOptions& options, Handler handler);

  absl::Status Start();
  void RunDaemon();
  void ScheduleRun();
  int QueueResponse(Exchange* exchange);
  int OnRequest(MHD_Connection* connection,
                const char* url,
                const char* method,
                const char* upload,
                size_t* upload_size,
                PendingRequest** pending);
  void OnCompleted(PendingRequest* pending);

  core::EventLoop* loop_;
  ServerOptions options_;
  Handler handler_;
  RejectObserver reject_observer_;
  MHD_Daemon* daemon_ = nullptr;
  std::unique_ptr<core::IoWatcher> watcher_;
  std::unique_ptr<core::Timer> timer_;
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
  bool run_scheduled_ = false;
  bool is_stopped_listening_ = false;
  size_t open_exchanges_ = 0;
  // The exchanges whose connection is open.
  std::set<std::shared_ptr<Exchange>> exchanges_;
};

}  // namespace wasabi::http

#endif  // LIBHTTP_SERVER_H_
