// Sends one request to one endpoint and receives the answer: directly, or
// through another host while this host's own path is lost. While it is active,
// the attempt counts towards the endpoint's load, and can detect that the
// connection has gone silent.

#ifndef LIBFORWARDING_FORWARD_ATTEMPT_H_
#define LIBFORWARDING_FORWARD_ATTEMPT_H_

#include <functional>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <string_view>

#include "LibForwarding/endpoint.h"
#include "LibForwarding/forward_context.h"
#include "LibForwarding/forward_request.h"
#include "LibForwarding/protocols.h"
#include "LibHttp/tcp_stream.h"

namespace wasabi::forwarding {

// How an attempt ended.
enum class AttemptEnd : uint8_t {
  // The complete answer has arrived. AttemptVerdict tells whether it is a
  // success.
  kAnswered,
  // The request was not sent, so it did not run.
  kNotSent,
  // The request must not be sent any more.
  kWithheld,
  // As kNotSent, because this host's path is lost and no other host can carry
  // the request.
  kNoPath,
  // The connection broke; the request may have run.
  kCut,
  // The endpoint sent a malformed answer; the request may have run.
  kMalformedAnswer,
  // The endpoint sent more bytes than an answer may have; the request may have
  // run.
  kOversizedAnswer,
  // The connection went silent; the request may have run.
  kSilent,
};

class ForwardAttempt : public std::enable_shared_from_this<ForwardAttempt> {
 public:
  struct Callbacks {
    // Asked right before the first byte of the request is sent. Returns whether
    // it may be sent.
    std::function<bool()> may_send;
    std::function<void(AttemptVerdict verdict, const http::MessageHead& head)>
        on_head;
    std::function<void(std::string_view piece)> on_body;
    // Asked when the answer has ended as its framing says. Returns false if its
    // content shows that it was broken off.
    std::function<bool()> is_whole;
    // Asked before a silent attempt is given up. Returns whether another
    // endpoint could take its place.
    std::function<bool()> is_replaceable;
    std::function<void(AttemptEnd end)> on_end;
  };

  ForwardAttempt(ForwardContext* context,
                 const ForwardRequest& request,
                 const Endpoint& endpoint);
  ~ForwardAttempt();
  ForwardAttempt(const ForwardAttempt&) = delete;
  ForwardAttempt& operator=(const ForwardAttempt&) = delete;

  // Sends the request. The event loop calls `on_head` and `on_body` as the
  // answer arrives, and finally `on_end`, unless the attempt is cancelled.
  void Start(const AttemptOptions& options, Callbacks callbacks);
  // Closes the connection. No callback is called afterwards.
  void Cancel();
  // Closes the connection and ends the attempt with `end`, without the rest of
  // the answer. May be called in `on_head` and `on_body`.
  void Abandon(AttemptEnd end);
  // Records that the answer has progressed. Bytes alone are no progress: those
  // that are no answer may come without end.
  void RecordProgress();
  // Probes the endpoint with a new connection if the answer does not progress
  // for `limit`. The attempt ends with kSilent if the probe fails, or if there
  // is no progress for another two times `limit` although it succeeded. Zero
  // disables the check.
  void SetSilenceTimeout(core::Duration limit);
  // Pauses or resumes reading from the endpoint.
  void SetReading(bool is_reading) { call_->SetReading(is_reading); }

  const Endpoint& endpoint() const { return endpoint_; }
  // Returns the name of the host that carries the request, for log entries;
  // "none" if it is sent directly.
  std::string carrier_name() const {
    return carrier_ ? carrier_->host.value() : "none";
  }
  // Returns the connection of the latest call, for log entries.
  http::ConnectionUse use() const {
    return call_ == nullptr ? http::ConnectionUse{} : call_->use();
  }
  bool is_active() const { return is_active_; }
  core::TimePoint started_at() const { return started_at_; }

 private:
  // Sends the request, by the way that is open now.
  void Send();
  // Finishes after the caller's turn of the event loop.
  void PostFinish(AttemptEnd end);
  // Sets the way through a carrier. Returns false if none is left.
  bool ChooseCarrier(http::OriginRequest* request);
  // Records over which connection the request is sent, or that it must not be.
  // Returns whether it may be sent.
  bool BeginSend(const http::ConnectionUse& use, core::Duration remaining);
  // Records that a response to another request was skipped.
  void OnSkipped(const http::MessageHead& head);
  void OnAnswer(const http::AnswerHead& answer);
  void OnCallEnd(http::OriginOutcome end);
  void OnNotSent();
  // Records the failure of a connection to the endpoint, unless it rather tells
  // of this host's path.
  void RecordUnreachable();
  void RecordFailure();
  void FinishCut();
  void OnSilenceTimeout();
  void StartProbe();
  void OnProbeEnd(bool is_reachable);
  void Finish(AttemptEnd end);
  void Release();

  ForwardContext* const context_;
  const ForwardRequest& request_;
  const Endpoint endpoint_;
  AttemptOptions options_;
  Callbacks callbacks_;
  std::shared_ptr<http::OriginCall> call_;
  // The host that carries the request; nullopt if it is sent directly.
  std::optional<Carrier> carrier_;
  std::set<core::HostId> tried_carriers_;
  std::unique_ptr<core::Timer> silence_timer_;
  std::shared_ptr<http::TcpStream> probe_;
  std::unique_ptr<core::Timer> probe_timer_;
  core::Duration silence_timeout_{};
  core::TimePoint started_at_;
  core::TimePoint last_progress_at_;
  bool has_probed_ = false;
  // A carrier says that the endpoint accepts no requests.
  bool is_unavailable_ = false;
  // Whether the address was the endpoint's when the request was to be sent.
  bool has_address_ = true;
  bool is_active_ = false;
};

}  // namespace wasabi::forwarding

#endif  // LIBFORWARDING_FORWARD_ATTEMPT_H_
