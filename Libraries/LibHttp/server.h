// An HTTP server on the event loop that uses libmicrohttpd.

#ifndef LIBHTTP_SERVER_H_
#define LIBHTTP_SERVER_H_

#include <functional>
#include <memory>
#include <set>
#include <vector>

#include "LibCore/event_loop.h"
#include "LibCore/socket_address.h"
#include "LibHttp/accept.h"
#include "LibHttp/exchange.h"
#include "absl/status/statusor.h"

struct MHD_Daemon;
struct MHD_Connection;

namespace wasabi::http {

struct ServerOptions {
  core::SocketAddress address;
  // Requests with a larger body are rejected with 413.
  size_t max_body_bytes = 4U << 20U;
  // Requests whose header names and values exceed this in total are rejected
  // with 413. If the headers don't fit into `connection_memory_bytes`,
  // libmicrohttpd itself responds with 431.
  size_t max_header_bytes = 8U << 10U;
  // Memory that libmicrohttpd reserves for the headers of a connection.
  size_t connection_memory_bytes = 32U << 10U;
  // Idle connections are closed after this time.
  unsigned idle_timeout_seconds = 120;
};

// `loop` must outlive the server, and callbacks run on it.
class Server {
 public:
  using Handler = std::function<void(const std::shared_ptr<Exchange>&)>;
  // Called with the HTTP status of each request that was rejected before it
  // reached the handler.
  using RejectObserver = std::function<void(int status)>;

  // Starts to listen at the address in `options`. Returns
  // ResultCode::kCannotListen if that fails, for example because the address is
  // in use. `handler` is called once for each complete request.
  static absl::StatusOr<std::unique_ptr<Server>>
  Create(core::EventLoop* loop, const ServerOptions& options, Handler handler);
  // Aborts the connections that are still open.
  ~Server();

  // Accepts the connections that clients have opened so far and closes the
  // listening socket. Requests in flight are not affected; answers from then on
  // close their connection.
  void StopListening();
  // Number of requests in flight, including those that are still being
  // received. For half a second after StopListening, connections without a
  // request count as well, since their clients may have sent one before.
  size_t open_exchanges() const;
  void set_reject_observer(RejectObserver observer) {
    reject_observer_ = std::move(observer);
  }

 private:
  struct PendingRequest;
  struct Callbacks;

  Server(core::EventLoop* loop, const ServerOptions& options, Handler handler);

  absl::Status Start();
  // Lets libmicrohttpd process its sockets and timeouts.
  void RunDaemon();
  // Hands the connections in `accepted_` to libmicrohttpd.
  void AddAccepted();
  // Number of connections that libmicrohttpd has.
  size_t connection_count() const;
  // Calls RunDaemon in a later turn of the loop.
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
  // False once the server is destroyed; captured by callbacks that may run
  // later.
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
  bool run_scheduled_ = false;
  bool is_stopped_listening_ = false;
  // Until when connections without a request count as open.
  core::TimePoint awaits_requests_until_;
  // Accepted when the server stopped listening; libmicrohttpd has not got them
  // yet.
  std::vector<AcceptedSocket> accepted_;
  size_t open_exchanges_ = 0;
  // The exchanges of requests that have not ended.
  std::set<std::shared_ptr<Exchange>> exchanges_;
};

}  // namespace wasabi::http

#endif  // LIBHTTP_SERVER_H_
