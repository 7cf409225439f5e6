// A non-blocking TCP connection on the event loop with a write buffer.

#ifndef LIBHTTP_TCP_STREAM_H_
#define LIBHTTP_TCP_STREAM_H_

#include <functional>
#include <memory>
#include <string>
#include <string_view>

#include "LibCore/event_loop.h"
#include "LibCore/socket_address.h"
#include "absl/status/statusor.h"

namespace wasabi::http {

class TcpStream : public std::enable_shared_from_this<TcpStream> {
 public:
  enum class End : uint8_t {
    // The peer closed its side in order.
    kClosed,
    // The connection was reset, timed out or could not be made.
    kBroken,
  };

  // None is called after Close. Each may destroy the owner of the stream.
  struct Callbacks {
    std::function<void()> on_connected;
    std::function<void(std::string_view bytes)> on_data;
    std::function<void(End end)> on_end;
    // The write buffer has become empty.
    std::function<void()> on_drained;
  };

  // Begins to connect; kPeerUnreachable where no socket can be had.
  static absl::StatusOr<std::shared_ptr<TcpStream>> Connect(
      core::EventLoop* loop,
      const core::SocketAddress& address);

  // Takes over an accepted descriptor.
  static std::shared_ptr<TcpStream> Adopt(core::EventLoop* loop,
                                          int descriptor);

  ~TcpStream();
  TcpStream(const TcpStream&) = delete;
  TcpStream& operator=(const TcpStream&) = delete;

  // Begins to watch the socket.
  void Start(Callbacks callbacks);
  // Replaces the callbacks, for the next user of a kept connection.
  void SetCallbacks(Callbacks callbacks);

  // Sends `bytes`, or keeps them until the socket takes them.
  void Write(std::string_view bytes);
  size_t unsent_bytes() const { return buffer_.size(); }
  // True once any byte has been handed to the operating system.
  bool has_sent() const { return has_sent_; }

  // A paused stream neither reads nor notices the end of the peer.
  void SetReading(bool is_reading);

  // Tells the peer that nothing follows; reading goes on.
  void ShutDownWriting();
  void Close();
  bool is_open() const { return descriptor_ >= 0; }

 private:
  TcpStream(core::EventLoop* loop, int descriptor, bool is_connecting);

  void OnReady(bool is_readable, bool is_writable);
  bool FinishConnecting();
  void ReadAvailable();
  void Flush();
  void UpdateInterest();
  void ReportEnd(End end);

  core::EventLoop* const loop_;
  int descriptor_;
  bool is_connecting_;
  bool is_reading_ = true;
  bool has_sent_ = false;
  bool is_shut_down_ = false;
  bool shuts_down_when_drained_ = false;
  std::string buffer_;
  Callbacks callbacks_;
  std::unique_ptr<core::IoWatcher> watcher_;
};

}  // namespace wasabi::http

#endif  // LIBHTTP_TCP_STREAM_H_
