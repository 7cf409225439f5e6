// One attempt to run a request on an engine.

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

// What an attempt sends.
struct EngineAttemptRequest {
  core::SocketAddress engine;
  std::string request_id;
  uint32_t attempt = 1;
  std::string chat;
  std::string priority;
  std::string trace_parent;
  // The engine's JSON request, an object without "resume_from".
  std::string body;
  uint32_t resume_from = 0;
  bool needs_fresh_connection = false;
  // Whether the answer must name this request and attempt, and come to its end
  // marker. Only tests switch it off.
  bool is_bound = true;
};

struct EngineAttemptCallbacks {
  std::function<void(std::string_view payload)> on_chunk;
  // OK for a whole answer. A refusal by the engine keeps its result code and
  // means that nothing ran; kPeerUnreachable likewise; kAnswerCut and
  // kCrossedAnswer end an answer that can be resumed.
  std::function<void(const absl::Status& status)> on_done;
};

class EngineAttempt : public std::enable_shared_from_this<EngineAttempt> {
 public:
  // Sends the attempt. Neither callback runs inside Start.
  static std::shared_ptr<EngineAttempt> Start(
      http::Client* client,
      const EngineAttemptRequest& request,
      EngineAttemptCallbacks callbacks,
      core::TimePoint now);

  // Closes the connection, which makes the engine stop. No callback follows.
  void Cancel();

  // When the engine last sent something, or the start.
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
};

}  // namespace wasabi::router

#endif  // SERVICES_ROUTER_ENGINE_ATTEMPT_H_
