// An HTTP client on the event loop, over libcurl's multi interface.

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

struct ClientRequest {
  std::string method = "GET";
  core::SocketAddress address;
  // Path and query, beginning with "/".
  std::string target = "/";
  Headers headers;
  std::string body;
  core::Duration connect_timeout = std::chrono::seconds(1);
  // Bounds the whole call; zero means no bound.
  core::Duration total_timeout = core::Duration::zero();
  // Uses a new connection even where an idle one is kept. A request that must
  // not arrive twice needs it: when a kept connection breaks before the first
  // byte of the answer, libcurl sends the request again by itself.
  bool needs_fresh_connection = false;
};

// What the caller of Send hears. All callbacks run on the loop, after Send has
// returned; none runs after Cancel.
struct ClientCallbacks {
  // The status line and headers of the answer have arrived.
  std::function<void(int status, const Headers& headers)> on_headers;
  // A piece of the body.
  std::function<void(std::string_view chunk)> on_data;
  // The end. OK when the whole answer arrived, whatever its HTTP status;
  // kPeerUnreachable when no connection was made, so nothing was sent;
  // kAnswerTruncated when the connection broke; kDeadlineExceeded at the
  // timeout.
  std::function<void(const absl::Status& status)> on_done;
};

// A whole answer.
struct ClientResponse {
  int status = 0;
  Headers headers;
  std::string body;
};

// A call in flight. Dropping the handle does not cancel the call.
class ClientCall {
 public:
  virtual ~ClientCall() = default;
  // Ends the call and closes its connection. No callback follows.
  virtual void Cancel() = 0;
};

class Client {
 public:
  explicit Client(core::EventLoop* loop);
  ~Client();
  Client(const Client&) = delete;
  Client& operator=(const Client&) = delete;

  // Starts a call whose answer is handed over as it arrives.
  std::shared_ptr<ClientCall> Send(const ClientRequest& request,
                                   ClientCallbacks callbacks);

  // Starts a call whose answer is gathered whole.
  std::shared_ptr<ClientCall> Fetch(
      const ClientRequest& request,
      std::function<void(absl::StatusOr<ClientResponse>)> callback);

  size_t calls_in_flight() const;
  // Bytes of all finished calls in both directions, headers included.
  uint64_t bytes_transferred() const;

 private:
  struct State;
  std::shared_ptr<State> state_;
};

}  // namespace wasabi::http

#endif  // LIBHTTP_CLIENT_H_
