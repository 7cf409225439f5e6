// One turn of a chat as a caller performs it: asks for addresses, sends to the
// first that can be reached, reads the stream, reattaches by request id where
// the connection breaks or goes silent, and honours Retry-After.

#ifndef UTILITIES_LOAD_CHAT_CALL_H_
#define UTILITIES_LOAD_CHAT_CALL_H_

#include <cstdint>
#include <functional>
#include <memory>
#include <nlohmann/json.hpp>
#include <string>
#include <string_view>

#include "Utilities/Load/call_context.h"
#include "Utilities/Load/event_stream.h"
#include "Utilities/Load/outcome.h"
#include "Utilities/Load/workload.h"

namespace wasabi::load {

class ChatCall : public std::enable_shared_from_this<ChatCall> {
 public:
  using Callback = std::function<void(const ChatOutcome& outcome)>;

  // Performs `turn` and calls `callback` once with its end. The call keeps
  // itself alive until then; `context` must outlive it.
  static void Start(const CallContext* context,
                    const ChatTurn& turn,
                    const std::string& request_id,
                    core::Duration arrival,
                    Callback callback);

 private:
  // The answer to one send, as far as it has arrived.
  struct Reply {
    int status = 0;
    http::Headers headers;
    std::string error_body;
    bool is_whole = false;
    // The code of an error event; 0 for none.
    int error_code = 0;
  };

  ChatCall(const CallContext* context,
           const ChatTurn& turn,
           const std::string& request_id,
           core::Duration arrival,
           Callback callback);

  void FindAddresses();
  void SendNext();
  http::ClientRequest MakePost() const;
  http::ClientRequest MakeReattachment() const;
  void OnData(std::string_view bytes);
  void OnEvent(std::string_view data);
  void OnChunk(const nlohmann::json& chunk);
  void OnDone(const absl::Status& status);
  void OnRefusal(int code);
  void OnSilenceCheck();
  void Reattach();
  void StartOver();
  void RetryLater(core::Duration delay);
  bool IsOutOfPatience() const;
  void Finish(Ending ending, int code);

  const CallContext* context_;
  const ChatTurn turn_;
  const std::string first_request_id_;
  const std::string body_;
  const HostQuery query_;
  Callback callback_;
  ChatOutcome outcome_;
  HostDirectory::Addresses addresses_;
  size_t next_address_ = 0;
  // A send may have reached the system, so its answer may wait there.
  bool is_reattaching_ = false;
  bool needs_fresh_connection_ = false;
  uint32_t received_tokens_ = 0;
  core::TimePoint started_;
  core::TimePoint first_send_;
  core::TimePoint last_byte_;
  core::TimePoint last_token_;
  Reply reply_;
  EventStream stream_;
  std::shared_ptr<http::ClientCall> call_;
  std::unique_ptr<core::Timer> silence_timer_;
  std::unique_ptr<core::Timer> retry_timer_;
  bool is_finished_ = false;
};

}  // namespace wasabi::load

#endif  // UTILITIES_LOAD_CHAT_CALL_H_
