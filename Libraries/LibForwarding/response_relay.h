// Relays the answer of the current attempt to the caller: streams by whole
// events, so that another endpoint can continue after the last one, other large
// answers as they arrive, and small ones once they are complete. Reading from
// the endpoint pauses while the caller is slow. The gaps between events count
// towards the endpoint's pace.

#ifndef LIBFORWARDING_RESPONSE_RELAY_H_
#define LIBFORWARDING_RESPONSE_RELAY_H_

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

#include "LibForwarding/event_splitter.h"
#include "LibForwarding/forward_attempt.h"
#include "LibForwarding/forward_context.h"
#include "LibForwarding/forward_request.h"
#include "LibForwarding/protocols.h"
#include "LibHttp/buffer_memory.h"
#include "LibHttp/transaction.h"

namespace wasabi::forwarding {

class ResponseRelay : public std::enable_shared_from_this<ResponseRelay> {
 public:
  // `context` and `request` must outlive this object. `on_event` is called when
  // new events of a stream were relayed.
  ResponseRelay(ForwardContext* context,
                const ForwardRequest& request,
                std::shared_ptr<http::Transaction> transaction,
                std::function<void()> on_event);

  // Forgets the answer of the previous attempt and expects that of `attempt`.
  void Expect(std::shared_ptr<ForwardAttempt> attempt);

  // Returns the callbacks for the head and the body of the answer. They abandon
  // the attempt if the answer is malformed or oversized. Those for the end of
  // the attempt are left to the caller.
  ForwardAttempt::Callbacks AttemptCallbacks();

  // These complete the response to the caller: from the buffered answer, or
  // after the last relayed byte.
  void DeliverBuffered();
  void Finish();

  AttemptVerdict verdict() const { return verdict_; }
  // Returns the framing of the answer, for log entries; "none" without a head.
  std::string_view framing_name() const;
  // Returns the status of the answer; 0 without a head.
  int status() const { return head_.status; }
  // Returns the bytes of an event that is not complete.
  size_t partial_event_bytes() const { return splitter_.remainder().size(); }
  // Returns the id of the last event that was relayed or that the caller
  // already had.
  std::optional<uint64_t> last_event_id() const { return last_event_id_; }

 private:
  void OnHead(AttemptVerdict verdict, const http::MessageHead& head);
  void OnBody(std::string_view piece);
  // Returns whether a success with `head` may go on with the stream that the
  // caller has.
  bool Continues(const http::MessageHead& head) const;
  // Returns whether an answer that has ended as its framing says is whole.
  bool IsWhole() const;
  void RelayBody(std::string_view piece);
  void RelayEvents(std::string_view piece);
  void RelayWholeEvents(const std::string& events);
  // Records the time since the last event towards the endpoint's pace.
  void RecordGap();
  // Starts the response to the caller.
  void Begin();
  void ApplyBackPressure();
  void RecordHeldBytes();
  bool IsStream() const { return request_.route->is_stream; }
  core::TimePoint Now() const { return context_->loop->Now(); }

  ForwardContext* const context_;
  const ForwardRequest& request_;
  const std::shared_ptr<http::Transaction> transaction_;
  const std::function<void()> on_event_;
  // What this request holds for a slow caller or endpoint.
  http::BufferMemory::Holding held_;

  // The current attempt and its answer.
  std::shared_ptr<ForwardAttempt> attempt_;
  AttemptVerdict verdict_ = AttemptVerdict::kInvalid;
  http::MessageHead head_;
  size_t head_bytes_ = 0;
  std::string body_;
  EventSplitter splitter_;
  // The head with which the response to the caller began.
  int begun_status_ = 0;
  std::string begun_media_type_;
  // An earlier attempt broke off inside an event that has not arrived since.
  bool lacks_event_ = false;
  std::optional<uint64_t> last_event_id_;
  // When the current attempt's latest event arrived; nullopt if none has, or
  // if reading has paused since.
  std::optional<core::TimePoint> last_event_at_;
  bool is_paused_ = false;
};

}  // namespace wasabi::forwarding

#endif  // LIBFORWARDING_RESPONSE_RELAY_H_
