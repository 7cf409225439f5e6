// One tunnel of TunnelServer. It relays bytes with backpressure, tells the host
// how the endpoint's connection ended, and reads the heads of the endpoint's
// answers for notices that bind this host too.

#ifndef LIBFORWARDING_TUNNEL_H_
#define LIBFORWARDING_TUNNEL_H_

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

#include "LibForwarding/endpoint.h"
#include "LibForwarding/forward_context.h"
#include "LibHttp/buffer_memory.h"
#include "LibHttp/message_parser.h"
#include "LibHttp/send_ledger.h"
#include "LibHttp/tcp_stream.h"

namespace wasabi::forwarding {

class Tunnel : public std::enable_shared_from_this<Tunnel> {
 public:
  using EndObserver = std::function<void(const std::shared_ptr<Tunnel>&)>;

  // `host` is the connection of the host that asked for the tunnel; if
  // `is_framed`, it gets the endpoint's bytes in frames. `request_id` is the id
  // of the request that it sends, empty if unknown. `on_end` is called once,
  // when both connections are closed.
  Tunnel(ForwardContext* context,
         std::shared_ptr<http::TcpStream> host,
         bool is_framed,
         std::string request_id,
         Endpoint endpoint,
         EndObserver on_end);

  // Connects to the endpoint.
  void Start();
  // Ends the tunnel because this host stops. The other host takes a request in
  // it for cut.
  void Interrupt();

 private:
  void OnConnected();
  void OnNotConnected();
  void OnHostData(std::string_view bytes);
  void OnEndpointData(std::string_view bytes);
  void OnEndpointEnd(http::TcpStream::End end);
  // Ends a tunnel whose endpoint has closed, once all bytes have been sent.
  void OnLingered();
  // Pauses reading from one side while the other is slow.
  void ApplyBackPressure(const http::TcpStream& to,
                         http::TcpStream* from) const;
  void NewParser();
  // Handle the head of a response, and that of the answer to the request.
  void OnHead(const http::MessageHead& head);
  void OnAnswer(const http::AnswerHead& answer);
  // Looks for notices in the head of the answer.
  void ReadNotices(std::string_view bytes);
  void End();

  ForwardContext* const context_;
  const std::shared_ptr<http::TcpStream> host_;
  const bool is_framed_;
  const std::string request_id_;
  const Endpoint endpoint_;
  EndObserver on_end_;
  std::shared_ptr<http::TcpStream> endpoint_stream_;
  // Limits the time for connecting, and that for the end of the host's side
  // after the endpoint has closed its own.
  std::unique_ptr<core::Timer> timer_;
  core::TimePoint started_at_{};
  // What is sent to the endpoint, and the right to it, once connected.
  http::SendLedger sends_;
  std::optional<http::SendPermit> permit_;
  std::unique_ptr<http::MessageParser> parser_;
  std::string unparsed_;
  http::BufferMemory::Holding held_;
  bool is_connected_ = false;
  bool has_head_ = false;
};

}  // namespace wasabi::forwarding

#endif  // LIBFORWARDING_TUNNEL_H_
