// One request on a RequestServer and the way to answer it.

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

// A received request, exactly as it came: the target is not decoded, and the
// fields keep their order and spelling.
struct InboundRequest {
  std::string method;
  // Path and query.
  std::string target;
  Headers headers;
  std::string body;
  core::TimePoint received_at;
};

// A whole answer that did not come from an endpoint.
struct Answer {
  int status = 0;
  Headers headers = {};
  std::string body = {};
};

// Valid after its connection is gone; writing then has no effect. Must be
// answered by Respond, or by StartStream and Finish or Abort.
class Transaction {
 public:
  Transaction(std::weak_ptr<RequestConnection> connection,
              InboundRequest request);
  Transaction(const Transaction&) = delete;
  Transaction& operator=(const Transaction&) = delete;

  const InboundRequest& request() const { return request_; }

  // Sends a whole answer.
  void Respond(const Answer& answer);
  // Begins an answer. Without `content_length` its body is chunked.
  void StartStream(int status,
                   const Headers& headers,
                   std::optional<uint64_t> content_length);
  void Write(std::string_view bytes);
  // Ends the body. One that is shorter than announced breaks the connection.
  void Finish();
  // Breaks the connection, so that the caller sees the body as incomplete.
  void Abort();

  bool is_started() const { return is_started_; }
  bool is_open() const;
  // Bytes that the caller's connection has not taken yet.
  size_t unsent_bytes() const;

  // Called once when the caller closes its connection before the answer is
  // complete.
  void OnCallerGone(std::function<void()> callback);
  // Called whenever all written bytes have been sent.
  void OnDrained(std::function<void()> callback);

 private:
  friend class RequestConnection;

  const std::weak_ptr<RequestConnection> connection_;
  const InboundRequest request_;
  bool is_started_ = false;
  bool is_finished_ = false;
  bool is_chunked_ = false;
  uint64_t remaining_bytes_ = 0;
  std::function<void()> on_caller_gone_;
  std::function<void()> on_drained_;
};

}  // namespace wasabi::http

#endif  // LIBHTTP_TRANSACTION_H_
