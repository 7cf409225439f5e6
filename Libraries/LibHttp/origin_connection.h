// A connection of OriginClient to an endpoint. It carries one call at a time.

#ifndef LIBHTTP_ORIGIN_CONNECTION_H_
#define LIBHTTP_ORIGIN_CONNECTION_H_

#include <memory>
#include <optional>
#include <string>
#include <string_view>

#include "LibCore/event_loop.h"
#include "LibHttp/message_parser.h"
#include "LibHttp/origin_client.h"
#include "LibHttp/send_ledger.h"
#include "LibHttp/tcp_stream.h"
#include "LibHttp/tunnel_frames.h"

namespace wasabi::http {

// Returns whether `request` may share a connection with others. A tunnel
// carries one request. The framing of a response depends on the method HEAD, so
// that a copy of another response would be taken apart wrongly beside it.
inline bool IsPooled(const OriginRequest& request) {
  return !request.tunnel && request.method != "HEAD";
}

class OriginSend;

class OriginConnection : public std::enable_shared_from_this<OriginConnection> {
 public:
  OriginConnection(core::EventLoop* loop,
                   std::weak_ptr<OriginClient*> client,
                   core::SocketAddress address,
                   std::shared_ptr<BufferMemory> memory,
                   uint64_t number);

  // Returns whether the connection may carry `request`.
  bool MayCarry(const OriginRequest& request) const {
    return sends_.MayCarry(request.id);
  }
  // Makes `request` the latest send. Returns the right to send it; nullopt if
  // the connection may not carry it.
  [[nodiscard]] std::optional<SendPermit> BeginSend(
      const OriginRequest& request) {
    return sends_.Begin(request.id);
  }
  // Sends `request`, and connects first if there is no connection yet. Returns
  // the handle to this send.
  std::shared_ptr<OriginSend> Start(const OriginRequest& request,
                                    SendPermit permit,
                                    OriginCallbacks callbacks);
  // Reads what has arrived on an idle connection. Closes it if there is
  // anything.
  void ReadWaiting() { stream_->ReadNow(); }
  void Close();
  // Does what Close does, and resets the connection: an endpoint may take an
  // orderly end for that of the request alone, and bytes that the kernel still
  // holds would arrive later.
  void Reset();

  // These act on the latest send, for its handle.
  void Cancel();
  void SetReading(bool is_reading);
  bool is_connected() const { return is_connected_; }
  const ConnectionUse& use() const { return use_; }

  const core::SocketAddress& address() const { return address_; }
  bool is_open() const { return stream_->is_open(); }
  // Returns true if the connection is open and was idle for less than both
  // `max_idle` and the idle timeout that the endpoint announced.
  bool IsUsable(core::TimePoint now, core::Duration max_idle) const;

 private:
  void Connect(const OriginRequest& request);
  void OnConnected();
  // Sends the request, if the connection is open, or asks for the tunnel.
  void WriteOrWait(const OriginRequest& request);
  // Passes the bytes of the request to the stream, if they may be sent.
  void SendRequest();
  // Spends `permit`, without which no request is written.
  void Write(std::string_view request, SendPermit permit);
  void OnTunnelReply();
  void OnTunnelOpen();
  // Tell the client that this direct connection is gone, that it broke without
  // the doing of this host, or that it was not established.
  void NoteClosed();
  void NoteBroken();
  void NoteRefused();
  void NewParser();
  void OnData(std::string_view bytes);
  // Takes `bytes` of the endpoint, or of the carrier.
  void Receive(std::string_view bytes);
  void ParseInput();
  // Ends the call if unparsed bytes exceed what memory allows.
  void CheckHeldBytes();
  void OnStreamEnd(TcpStream::End end);
  void OnHead(const MessageHead& head);
  void OnAnswer(const AnswerHead& answer);
  void NoteSkipped(const MessageHead& head);
  void OnMessageComplete();
  // Returns whether the responses that precede the expected one exceed their
  // limits.
  bool HasTooMuchBefore() const;
  // Tells the handle that the latest send has ended.
  void EndSend();
  // Drops the call and what it holds.
  void Release();
  void Finish(OriginOutcome end);

  core::EventLoop* const loop_;
  const std::weak_ptr<OriginClient*> client_;
  const core::SocketAddress address_;
  const std::shared_ptr<BufferMemory> memory_;
  // Keeps the connection alive while it carries a call.
  std::shared_ptr<OriginConnection> self_;
  // The handle to the latest send.
  std::weak_ptr<OriginSend> send_;
  std::shared_ptr<TcpStream> stream_;
  std::unique_ptr<core::Timer> connect_timer_;
  std::unique_ptr<MessageParser> parser_;
  OriginCallbacks callbacks_;
  // Bytes that were received but not parsed yet.
  std::string input_;
  BufferMemory::Holding held_;
  ConnectionUse use_;
  SendLedger sends_;
  int interim_responses_ = 0;
  // Bytes of the bodies of skipped responses.
  uint64_t skipped_bytes_ = 0;
  // The request and the right to send it, until the connection or the tunnel is
  // open.
  std::string unsent_request_;
  std::optional<SendPermit> permit_;
  // Set if what the endpoint sends arrives in a tunnel's frames.
  std::optional<TunnelFrameDecoder> frames_;
  bool is_active_ = false;
  bool is_connected_ = false;
  bool is_tunnel_ = false;
  // May carry further requests.
  bool is_pooled_ = false;
  bool is_head_request_ = false;
  // The current response belongs to another request.
  bool is_skipping_ = false;
  // The current response is a 1xx response.
  bool is_interim_ = false;
  bool is_keep_alive_ = false;
  core::TimePoint idle_since_;
  // When the direct connection was established, while it is open.
  std::optional<core::TimePoint> connected_at_;
  core::Duration idle_timeout_{};
};

}  // namespace wasabi::http

#endif  // LIBHTTP_ORIGIN_CONNECTION_H_
