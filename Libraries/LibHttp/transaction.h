// A request that RequestServer received, and the operations that send its
// response.

#ifndef LIBHTTP_TRANSACTION_H_
#define LIBHTTP_TRANSACTION_H_

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

#include "LibCore/time.h"
#include "LibHttp/headers.h"

namespace wasabi::http {

class RequestConnection;
class TcpStream;

// A received request in its original form: the target is not decoded, and the
// header fields keep their order and spelling.
struct InboundRequest {
  std::string method;
  // Path and query, not decoded.
  std::string target;
  Headers headers;
  std::string body;
  // The client knows no chunks and no interim responses.
  bool is_http_1_0 = false;
  // When the request was completely received.
  core::TimePoint received_at;
};

// A complete response that is produced locally and not by an endpoint.
struct Answer {
  int status = 0;
  Headers headers = {};
  std::string body = {};
};

// Stays valid after its connection is closed; writes then have no effect. Every
// transaction must be completed by Respond, or by StartStream followed by
// Finish or Abort. Callbacks run on the event loop.
class Transaction {
 public:
  Transaction(std::weak_ptr<RequestConnection> connection,
              InboundRequest request);
  Transaction(const Transaction&) = delete;
  Transaction& operator=(const Transaction&) = delete;

  const InboundRequest& request() const { return request_; }
  // The connection that the request came on. Expired once it is closed.
  const std::weak_ptr<RequestConnection>& connection() const {
    return connection_;
  }

  // Sends a complete response.
  void Respond(const Answer& answer);
  // Starts a response. Without `content_length` its body is sent chunked, or
  // ends with the connection if the client knows no chunks; a reset then tells
  // the client that it was cut. Has no effect after a response was started.
  void StartStream(int status,
                   const Headers& headers,
                   std::optional<uint64_t> content_length);
  // Starts a response with neither a length nor chunks. Its body ends with the
  // connection, so that the client can't tell a truncated one by its framing.
  void StartUnframed(int status, const Headers& headers);
  // Appends `bytes` to the body.
  void Write(std::string_view bytes);
  // Completes the response. If the body is shorter than its declared length,
  // the response is aborted instead.
  void Finish();
  // Takes the connection away from the server, for a protocol other than HTTP.
  // Returns nullptr if the connection is closed. To be called instead of a
  // response. The caller must set the stream's callbacks.
  std::shared_ptr<TcpStream> TakeOver();
  // Closes the connection after the bytes written so far without completing the
  // body, so that the client detects a truncated response.
  void Abort();

  // True once a response was started.
  bool is_started() const { return is_started_; }
  // True while the connection is open and the response isn't complete.
  bool is_open() const;
  // Bytes in the write buffer of the client's connection.
  size_t unsent_bytes() const;

  // Sets a callback that runs once if the client disconnects before the
  // response is complete.
  void OnCallerGone(std::function<void()> callback);
  // Sets a callback that runs whenever the write buffer was drained.
  void OnDrained(std::function<void()> callback);

 private:
  friend class RequestConnection;

  const std::weak_ptr<RequestConnection> connection_;
  const InboundRequest request_;
  bool is_started_ = false;
  bool is_finished_ = false;
  bool is_chunked_ = false;
  bool is_unframed_ = false;
  // An aborted response looks complete unless its connection is reset.
  bool resets_when_aborted_ = false;
  // Bytes of the declared length that were not written yet.
  uint64_t remaining_bytes_ = 0;
  std::function<void()> on_client_disconnected_;
  std::function<void()> on_drained_;
};

}  // namespace wasabi::http

#endif  // LIBHTTP_TRANSACTION_H_
