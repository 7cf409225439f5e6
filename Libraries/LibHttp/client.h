// An HTTP client on the event loop that uses libcurl's multi interface.

#ifndef LIBHTTP_CLIENT_H_
#define LIBHTTP_CLIENT_H_

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <string_view>

#include "LibCore/event_loop.h"
#include "LibCore/socket_address.h"
#include "LibHttp/headers.h"
#include "absl/status/statusor.h"

namespace wasabi::http {

// The size limit of one fetched body.
inline constexpr uint64_t kDefaultMaxFetchBytes = 64U << 20U;

struct ClientRequest {
  std::string method = "GET";
  core::SocketAddress address;
  // Path and query, beginning with "/".
  std::string target = "/";
  Headers headers;
  std::string body;
  core::Duration connect_timeout = std::chrono::seconds(1);
  // Limit for the whole call, including the connection setup; zero means no
  // limit.
  core::Duration total_timeout = core::Duration::zero();
  // Limit of the body's size; zero means no limit. Fetch, which keeps the body,
  // replaces zero by kDefaultMaxFetchBytes.
  uint64_t max_body_bytes = 0;
  // Uses a new connection even if the pool has an idle one. Required for
  // requests that must not be delivered twice: if a reused connection breaks
  // before the first byte of the response, libcurl retries the request by
  // itself.
  bool needs_fresh_connection = false;
};

// The callbacks of Client::Send. They run on the event loop after Send has
// returned, and none runs after Cancel.
struct ClientCallbacks {
  // The status line and the headers of the response were received.
  std::function<void(int status, const Headers& headers)> on_headers;
  // A piece of the body was received. `chunk` is valid only during the call.
  std::function<void(std::string_view chunk)> on_data;
  // The call has ended; this is the last callback. The status is OK if the
  // response was received completely, regardless of its HTTP status,
  // kPeerUnreachable if no connection was established and so nothing was sent,
  // kAnswerTruncated if the connection broke or ended inside the head, or ended
  // a response without a length before the server had the whole request,
  // kMalformedAnswer if the head is none (answer_syntax.h), or the head or the
  // body exceeds its size limit, and kDeadlineExceeded if the call timed out.
  std::function<void(const absl::Status& status)> on_done;
};

// A complete response.
struct ClientResponse {
  int status = 0;
  Headers headers;
  std::string body;

  // False if only the end of the connection delimits the body. A truncated body
  // then looks like a complete one, unless its content tells.
  bool IsDelimited() const;
};

// A call in flight. Dropping the handle does not cancel the call.
class ClientCall {
 public:
  virtual ~ClientCall() = default;
  // Ends the call and closes its connection. No callback follows.
  virtual void Cancel() = 0;
};

// Reuses idle connections. `loop` must outlive the client. Destroying the
// client drops its calls in flight without further callbacks.
class Client {
 public:
  // The bodies that calls of Fetch have received so far may take
  // `max_fetched_bytes` together; calls that exceed it end with
  // kMalformedAnswer. Zero means no limit.
  explicit Client(core::EventLoop* loop, uint64_t max_fetched_bytes = 0);
  ~Client();
  Client(const Client&) = delete;
  Client& operator=(const Client&) = delete;

  // Starts a call and passes its response to `callbacks` as it is received.
  std::shared_ptr<ClientCall> Send(const ClientRequest& request,
                                   ClientCallbacks callbacks);

  // Starts a call and passes its complete response, or the error that
  // ClientCallbacks::on_done describes, to `callback`.
  std::shared_ptr<ClientCall> Fetch(
      const ClientRequest& request,
      std::function<void(absl::StatusOr<ClientResponse>)> callback);

  size_t calls_in_flight() const;
  // Bytes of all finished calls in both directions, including headers.
  uint64_t bytes_transferred() const;

 private:
  struct State;
  std::shared_ptr<State> state_;
};

}  // namespace wasabi::http

#endif  // LIBHTTP_CLIENT_H_
