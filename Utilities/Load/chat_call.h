// Client side of one chat turn. It looks up host addresses, sends the request
// to the first reachable host and reads the streamed answer. When the
// connection breaks or becomes idle, it reattaches by request id; after a
// refusal it waits for Retry-After and retries.

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

  // Performs `turn` and calls `callback` exactly once, on the context's event
  // loop, with the outcome. The call keeps itself alive until then. `context`
  // must outlive it. `arrival` is the time since the start of the experiment.
  static void Start(const CallContext* context,
                    const ChatTurn& turn,
                    const std::string& request_id,
                    core::Duration arrival,
                    Callback callback);

 private:
  // The part of the response to one send that has been received so far.
  struct Reply {
    int status = 0;
    http::Headers headers;
    std::string error_body;
    // True once the end marker of the stream has been received.
    bool is_whole = false;
    // The result code of an error event in the stream; 0 if there was none.
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
  void OnIdleCheck();
  void Reattach();
  void StartOver();
  void RetryLater(core::Duration delay);
  bool HasTimedOut() const;
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
  // True once a send may have reached the system: its answer may be stored
  // there, so the call reattaches instead of sending the request again.
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
