// Runs one attempt of a request on an engine over HTTP.

#ifndef SERVICES_ROUTER_ENGINE_ATTEMPT_H_
#define SERVICES_ROUTER_ENGINE_ATTEMPT_H_

#include <functional>
#include <memory>
#include <string>

#include "LibCore/socket_address.h"
#include "LibCore/time.h"
#include "LibHttp/client.h"
#include "Services/Router/engine_stream_parser.h"

namespace wasabi::router {

// Parameters of an attempt.
struct EngineAttemptRequest {
  core::SocketAddress engine;
  std::string request_id;
  uint32_t attempt = 1;
  std::string chat;
  std::string priority;
  std::string trace_parent;
  // JSON object to send, without "resume_from".
  std::string body;
  // Index of the first chunk to request; 0 requests the whole answer.
  uint32_t resume_from = 0;
  // Requires the answer to carry this request id and attempt number and to
  // finish with the end marker. Only tests disable this.
  bool is_bound = true;
};

// Callbacks of an attempt, called on the event loop.
struct EngineAttemptCallbacks {
  std::function<void(std::string_view payload)> on_chunk;
  // Called once, at the end, unless the attempt is cancelled. OK means a
  // complete answer. A refusal by the engine keeps its result code; a refusal
  // or kPeerUnreachable means that nothing ran. After kAnswerTruncated or
  // kMismatchedAnswer the answer can be resumed.
  std::function<void(const absl::Status& status)> on_done;
};

// Sends the request, validates the response and passes its chunks on.
class EngineAttempt : public std::enable_shared_from_this<EngineAttempt> {
 public:
  // Sends the attempt. Neither callback runs inside Start.
  static std::shared_ptr<EngineAttempt> Start(
      http::Client* client,
      const EngineAttemptRequest& request,
      EngineAttemptCallbacks callbacks,
      core::TimePoint now);

  // Closes the connection, which makes the engine stop. No callback runs
  // afterwards.
  void Cancel();

  // Returns the time of the last data from the engine, or of the start if there
  // was none.
  core::TimePoint last_progress() const { return last_progress_; }
  bool has_chunks() const { return has_chunks_; }

 private:
  EngineAttempt(const EngineAttemptRequest& request,
                EngineAttemptCallbacks callbacks,
                core::TimePoint now);

  void Send(http::Client* client, const EngineAttemptRequest& request);
  void OnHeaders(int status, const http::Headers& headers);
  void OnData(std::string_view bytes);
  void OnDone(const absl::Status& status);
  void Fail(const absl::Status& status);
  // Returns the error for a response whose HTTP status is not 200.
  absl::Status HttpError() const;

  std::string request_id_;
  std::string attempt_;
  bool is_bound_;
  EngineAttemptCallbacks callbacks_;
  EngineStreamParser parser_;
  std::shared_ptr<http::ClientCall> call_;
  core::TimePoint last_progress_;
  bool has_chunks_ = false;
  bool is_ended_ = false;
  int http_status_ = 0;
  http::Headers headers_;
  // Bytes of the body of an error.
  size_t error_bytes_ = 0;
};

}  // namespace wasabi::router

#endif  // SERVICES_ROUTER_ENGINE_ATTEMPT_H_
