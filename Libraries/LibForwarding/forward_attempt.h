// One attempt of a request at one endpoint. It accounts for the load that it
// brings, and watches the endpoint's connection for silence.

#ifndef LIBFORWARDING_FORWARD_ATTEMPT_H_
#define LIBFORWARDING_FORWARD_ATTEMPT_H_

#include <functional>
#include <memory>
#include <optional>
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
  // The whole answer has arrived; AttemptVerdict tells what it says.
  kAnswered,
  // Nothing was sent, so the request did not run.
  kNotSent,
  // The connection broke; the request may have run.
  kCut,
  // The endpoint's bytes are not an answer; the request may have run.
  kImproper,
  // The connection went silent; the request may have run.
  kSilent,
};

class ForwardAttempt : public std::enable_shared_from_this<ForwardAttempt> {
 public:
  struct Callbacks {
    std::function<void(AttemptVerdict verdict, const http::MessageHead& head)>
        on_head;
    std::function<void(std::string_view piece)> on_body;
    std::function<void(AttemptEnd end)> on_end;
  };

  ForwardAttempt(ForwardContext* context,
                 const ForwardRequest& request,
                 const Endpoint& endpoint);
  ~ForwardAttempt();
  ForwardAttempt(const ForwardAttempt&) = delete;
  ForwardAttempt& operator=(const ForwardAttempt&) = delete;

  void Start(const AttemptOptions& options, Callbacks callbacks);
  // Closes the connection; no callback follows.
  void Cancel();
  // Declares the endpoint silent after `limit` without a byte. Zero ends that.
  void WatchSilence(core::Duration limit);
  void SetReading(bool is_reading) { call_->SetReading(is_reading); }

  const Endpoint& endpoint() const { return endpoint_; }
  bool is_active() const { return is_active_; }
  core::TimePoint started_at() const { return started_at_; }

 private:
  void OnHead(const http::MessageHead& head);
  void OnBody(std::string_view piece);
  void OnCallEnd(http::OriginEnd end);
  void OnSilence();
  void StartProbe();
  void OnProbeEnd(bool is_reachable);
  void Finish(AttemptEnd end);
  void Release();

  ForwardContext* const context_;
  const ForwardRequest& request_;
  const Endpoint endpoint_;
  Callbacks callbacks_;
  std::shared_ptr<http::OriginCall> call_;
  std::unique_ptr<core::Timer> silence_timer_;
  std::shared_ptr<http::TcpStream> probe_;
  std::unique_ptr<core::Timer> probe_timer_;
  core::Duration silence_limit_{};
  core::TimePoint started_at_;
  core::TimePoint last_byte_at_;
  bool has_probed_ = false;
  bool is_active_ = false;
};

}  // namespace wasabi::forwarding

#endif  // LIBFORWARDING_FORWARD_ATTEMPT_H_
