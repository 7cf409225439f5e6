// Sends a request whose body comes in chunks, several pieces with pauses in
// between, on a connection of its own.

#ifndef TESTS_SOAK_PIECEWISE_CALL_H_
#define TESTS_SOAK_PIECEWISE_CALL_H_

#include <functional>
#include <memory>
#include <optional>
#include <string>

#include "LibCore/event_loop.h"
#include "LibHttp/message_parser.h"
#include "LibHttp/origin_client.h"
#include "LibHttp/send_ledger.h"
#include "LibHttp/tcp_stream.h"

namespace wasabi::soak {

class PiecewiseCall : public http::OriginCall,
                      public std::enable_shared_from_this<PiecewiseCall> {
 public:
  // `loop` must outlive the call. `on_sent` runs when the last piece was
  // written. Callbacks run in later turns of the loop.
  static std::shared_ptr<http::OriginCall> Send(
      core::EventLoop* loop,
      const http::OriginRequest& request,
      http::OriginCallbacks callbacks,
      std::function<void()> on_sent);

  void Cancel() override;
  void SetReading(bool is_reading) override;
  bool is_reused() const override { return false; }
  bool is_connected() const override { return is_connected_; }

 private:
  PiecewiseCall(core::EventLoop* loop,
                const http::OriginRequest& request,
                http::OriginCallbacks callbacks,
                std::function<void()> on_sent);

  void Start(const core::SocketAddress& address);
  void SendPiece();
  void OnData(std::string_view bytes);
  void OnClosed();
  void End(http::OriginOutcome outcome);

  core::EventLoop* const loop_;
  const http::OriginCallbacks callbacks_;
  const std::function<void()> on_sent_;
  const std::string head_;
  std::string unsent_;
  std::string received_;
  http::SendLedger sends_;
  std::optional<http::SendPermit> permit_;
  http::MessageParser parser_;
  std::shared_ptr<http::TcpStream> stream_;
  std::unique_ptr<core::Timer> timer_;
  bool is_connected_ = false;
};

}  // namespace wasabi::soak

#endif  // TESTS_SOAK_PIECEWISE_CALL_H_
